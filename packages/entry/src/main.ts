import '@sequoiaquay/runtime/install-signals';
import '@sequoiaquay/runtime/install-fetch';
import { runBinary } from '@sequoiaquay/runtime';
import { runEntry } from './entry';
import { entrySettingsSchema } from './entry-settings';

await runBinary({
  defaultSettingsFile: 'entry.json',
  name: 'sequoiaquay-entry',
  run: runEntry,
  schema: entrySettingsSchema,
});
