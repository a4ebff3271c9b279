/**
 * Signal that aborts on SIGTERM or SIGINT. A second signal ends the process at once.
 */
export function shutdownSignal(): AbortSignal {
  const controller = new AbortController();
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
