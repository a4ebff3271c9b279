import { setMaxListeners } from 'node:events';

/** Returns a signal that aborts on SIGTERM or SIGINT. A second SIGTERM or SIGINT exits the process immediately. */
export function createShutdownSignal(): AbortSignal {
  const controller = new AbortController();
  // Many components of the process listen to this signal; Node warns above 10 listeners by default.
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
