import { createLogger } from 'bunyan';

/** A log that writes nothing. */
export const quietLog = createLogger({ name: 'test', streams: [] });
