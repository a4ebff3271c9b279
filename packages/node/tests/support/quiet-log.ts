import { createLogger } from 'bunyan';

/** Logger without output. */
export const quietLog = createLogger({ name: 'test', streams: [] });
