import '@sequoiaquay/runtime/install-signals';
import '@sequoiaquay/runtime/install-fetch';
import { runBinary } from '@sequoiaquay/runtime';
import { runControl } from './control';
import { controlSettingsSchema } from './control-settings';

await runBinary({
  defaultSettingsFile: 'control.json',
  name: 'sequoiaquay-control',
  run: runControl,
  schema: controlSettingsSchema,
});
