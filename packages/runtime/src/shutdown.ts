import { setMaxListeners } from 'node:events';

/**
 * Signal that aborts on SIGTERM or SIGINT. A second signal ends the process at once.
 */
export function shutdownSignal(): AbortSignal {
  const controller = new AbortController();
  // Every part of the process listens; Node's limit of 10 is for signals of one operation.
  setMaxListeners(0, controller.signal);
  const stop = (): void => {
    if (controller.signal.aborted) {
      process.exit(1);
    }
    controller.abort();
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  return controller.signal;
}
