import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { err, ok } from 'neverthrow';
import { Agent } from 'undici';

/** A request to a target. */
export interface TargetRequest {
  address: string;
  /** Runs when the connection is ready, before the first byte; a returned reason stops the request unsent. */
  beforeSend: () => string | undefined;
  body: Buffer;
  contentType: string;
  id: string;
  job: string;
  signal: AbortSignal;
}

/** A whole answer of a target. */
export interface TargetAnswer {
  body: Buffer;
  contentType: string;
  status: number;
}

/** A request that got no whole answer. */
export interface TargetError {
  message: string;
  /** Whether any byte of the request may have reached the target. */
  sent: boolean;
}

/** Settings of the target client. */
export interface TargetClientSettings {
  /** Connections to one target. */
  connections: number;
  connectTimeoutMs: number;
}

/** Sends requests to targets over pooled connections; a failed connection is never used again. */
export class TargetClient {
  #agent: Agent;
  #connections: number;

  constructor(private readonly settings: TargetClientSettings) {
    this.#connections = settings.connections;
    this.#agent = this.#createAgent();
  }

  /** Changes the number of connections to one target; requests that run keep theirs until they end. */
  resize(connections: number): void {
    if (connections !== this.#connections) {
      this.#connections = connections;
      void this.#agent.close();
      this.#agent = this.#createAgent();
    }
  }

  #createAgent(): Agent {
    return new Agent({
      connect: { timeout: this.settings.connectTimeoutMs },
      connections: this.#connections,
      // Run times are bounded by the request's deadline.
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 1,
    });
  }

  /** Sends a request and reads the whole answer. */
  async send(req: TargetRequest): Promise<Result<TargetAnswer, TargetError>> {
    let sent = false;
    const dispatcher = this.#agent.compose(
      watchStart((controller) => {
        const stop = req.signal.aborted ? 'the request was cancelled' : req.beforeSend();
        if (stop === undefined) {
          sent = true;
          return;
        }
        controller.abort(new Error(stop));
      }),
    );
    try {
      const res = await dispatcher.request({
        body: req.body,
        headers: { 'content-type': req.contentType, 'sequoiaquay-request-id': req.id },
        method: 'POST',
        origin: `http://${req.address}`,
        path: `/jobs/${req.job}`,
        signal: req.signal,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      const contentType = res.headers['content-type'];
      return ok({
        body,
        contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
        status: res.statusCode,
      });
    } catch (error) {
      return err({ message: error instanceof Error ? error.message : String(error), sent });
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

// Reports the moment at which a request is about to be written to a connected socket.
function watchStart(
  onStart: (controller: Dispatcher.DispatchController) => void,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    const watched: Dispatcher.DispatchHandler = {
      onRequestStart(controller, context) {
        onStart(controller);
        handler.onRequestStart?.(controller, context);
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
