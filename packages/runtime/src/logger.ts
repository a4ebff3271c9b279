import type Logger from 'bunyan';
import { createLogger } from 'bunyan';

export type { default as Logger } from 'bunyan';

/** Creates the structured logger of a process; lines are JSON on standard output. */
export function openLogger(name: string, level: 'debug' | 'error' | 'info' | 'warn'): Logger {
  return createLogger({ level, name, stream: process.stdout });
}
