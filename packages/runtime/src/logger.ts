import type Logger from 'bunyan';
import { createLogger } from 'bunyan';

export type { default as Logger } from 'bunyan';

/**
 * Creates the structured logger of a process, which writes JSON lines to standard output. Lines that can't be written
 * are dropped: a closed output must not end the process.
 */
export function createProcessLogger(name: string, level: 'debug' | 'error' | 'info' | 'warn'): Logger {
  process.stdout.on('error', () => undefined);
  return createLogger({ level, name, stream: process.stdout });
}
