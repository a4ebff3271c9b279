import type { Dispatcher } from 'undici';

/** Returns an undici interceptor that calls `onStart` when a request is about to be written to a connected socket. */
export function createRequestStartInterceptor(
  onStart: (controller: Dispatcher.DispatchController) => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    const wrappedHandler: Dispatcher.DispatchHandler = {
      onRequestStart(controller, context) {
        // `onStart` may abort the request, so it is called after the handler: starting the handler of an
        // aborted request fails an assertion, and in a minified bundle Node needs minutes to build the
        // message of a failed assertion.
        handler.onRequestStart?.(controller, context);
        if (!controller.aborted) {
          onStart(controller);
        }
      },
      onRequestUpgrade(controller, status, headers, socket) {
        handler.onRequestUpgrade?.(controller, status, headers, socket);
      },
      onResponseData(controller, chunk) {
        handler.onResponseData?.(controller, chunk);
      },
      onResponseEnd(controller, trailers) {
        handler.onResponseEnd?.(controller, trailers);
      },
      onResponseError(controller, error) {
        handler.onResponseError?.(controller, error);
      },
      onResponseStart(controller, status, headers, statusMessage) {
        handler.onResponseStart?.(controller, status, headers, statusMessage);
      },
    };
    return dispatch(options, wrappedHandler);
  };
}
