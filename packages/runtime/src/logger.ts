import type Logger from 'bunyan';
import { createLogger } from 'bunyan';

export type { default as Logger } from 'bunyan';

/** Creates the structured logger of a process, which writes JSON lines to standard output. */
export function createProcessLogger(name: string, level: 'debug' | 'error' | 'info' | 'warn'): Logger {
  return createLogger({ level, name, stream: process.stdout });
}
