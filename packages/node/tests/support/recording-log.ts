import type { Logger } from '@sequoiaquay/runtime';
import { createLogger } from 'bunyan';

/** Creates a logger that adds its lines to a list. */
export function createRecordingLog(lines: Record<string, unknown>[]): Logger {
  const stream = { write: (line: object) => lines.push({ ...line }) };
  return createLogger({ name: 'test', streams: [{ stream: stream, type: 'raw' }] });
}
