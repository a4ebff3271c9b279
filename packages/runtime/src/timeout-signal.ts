/**
 * Signal that aborts with its parent or after a time in ms, with a `TimeoutError` in the latter case.
 * The timer holds the signal: in Node 20, a signal of `AbortSignal.timeout` that only `AbortSignal.any`
 * refers to may be collected before it fires, and the call that it limits then hangs.
 */
export function timeoutSignal(parent: AbortSignal, limitMs: number): AbortSignal {
  const controller = new AbortController();
  const onParent = (): void => {
    clearTimeout(timer);
    controller.abort(parent.reason);
  };
  const timer = setTimeout(() => {
    parent.removeEventListener('abort', onParent);
    controller.abort(new DOMException(`no answer within ${limitMs} ms`, 'TimeoutError'));
  }, limitMs);
  timer.unref();
  parent.addEventListener('abort', onParent, { once: true });
  if (parent.aborted) {
    onParent();
  }
  return controller.signal;
}
