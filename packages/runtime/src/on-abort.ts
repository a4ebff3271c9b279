type AbortCallback = () => void;

const callbacksBySignal = new WeakMap<AbortSignal, Set<AbortCallback>>();

/**
 * Calls back once when a signal aborts; returns a function that removes the callback. All callbacks of a signal
 * share one listener, since adding a listener takes time in proportion to those that the signal has. For a
 * signal that has already aborted nothing is called.
 */
export function onAbort(signal: AbortSignal, callback: AbortCallback): () => void {
  const callbacks = getOrListen(signal);
  // A callback may be registered more than once, so each registration has an object of its own.
  const registration = (): void => {
    callback();
  };
  callbacks.add(registration);
  return () => {
    callbacks.delete(registration);
  };
}

function getOrListen(signal: AbortSignal): Set<AbortCallback> {
  const known = callbacksBySignal.get(signal);
  if (known !== undefined) {
    return known;
  }
  const callbacks = new Set<AbortCallback>();
  callbacksBySignal.set(signal, callbacks);
  const callAll = (): void => {
    const pending = [...callbacks];
    callbacks.clear();
    for (const callback of pending) {
      callback();
    }
  };
  signal.addEventListener('abort', callAll, { once: true });
  return callbacks;
}
