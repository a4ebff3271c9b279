import type { Dispatcher } from 'undici';

/** Interceptor that reports the moment at which a request is about to be written to a connected socket. */
export function watchStart(
  onStart: (controller: Dispatcher.DispatchController) => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    const watched: Dispatcher.DispatchHandler = {
      onRequestStart(controller, context) {
        // The handler first: it fails an assertion when it is started after its request was aborted, and in
        // a minified bundle Node takes minutes to word a failed assertion.
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
    return dispatch(options, watched);
  };
}
