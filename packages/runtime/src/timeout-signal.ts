/**
 * Returns a signal that aborts with its parent, or with a `TimeoutError` after `timeoutMs`.
 * The timer keeps the signal reachable: in Node 20, a signal of `AbortSignal.timeout` that is referenced only
 * by `AbortSignal.any` may be garbage-collected before it fires, and the call that it limits then hangs.
 */
export function createTimeoutSignal(parent: AbortSignal, timeoutMs: number): AbortSignal {
  const controller = new AbortController();
  const onParent = (): void => {
    clearTimeout(timer);
    controller.abort(parent.reason);
  };
  const timer = setTimeout(() => {
    parent.removeEventListener('abort', onParent);
    controller.abort(new DOMException(`no answer within ${timeoutMs} ms`, 'TimeoutError'));
  }, timeoutMs);
  timer.unref();
  parent.addEventListener('abort', onParent, { once: true });
  if (parent.aborted) {
    onParent();
  }
  return controller.signal;
}
