import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { createRequestStartInterceptor } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import { PassThrough, Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { Agent } from 'undici';
import type { AnswerRest, TargetAnswer } from './target-answer';
import { endToEndHeaders } from './target-answer';

/** A request to a target. */
export interface TargetRequest {
  address: string;
  /** Runs when the connection is ready, before the first byte; a returned reason stops the request unsent. */
  beforeSend: () => string | undefined;
  body: Buffer;
  contentType: string;
  id: string;
  job: string;
  /** Called directly before the first byte is written. */
  onSent?: () => void;
  /** Ends the request, also while it runs. */
  signal: AbortSignal;
  /** Ends the request only while no byte of it has been written. */
  startSignal: AbortSignal;
}

/** A request that got no whole answer. */
export interface TargetError {
  message: string;
  /** Whether any byte of the request may have reached the target. */
  sent: boolean;
}

/** Settings of the target client. */
export interface TargetClientSettings {
  /** Largest answer that is buffered whole, in bytes; the rest of a larger one is streamed. */
  bufferLimitBytes: number;
  /** Connections to one target. */
  connections: number;
  connectTimeoutMs: number;
}

/**
 * Sends requests to targets, each over a connection of its own: a late or repeated answer and bytes
 * after an answer can't be taken for the answer to another request.
 */
export class TargetClient {
  #agent: Agent;
  readonly #bufferLimit: number;

  #connections: number;

  constructor(private readonly settings: TargetClientSettings) {
    this.#bufferLimit = settings.bufferLimitBytes;
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

  /** Sends a request and reads its answer up to the buffer limit. */
  async send(req: TargetRequest): Promise<Result<TargetAnswer, TargetError>> {
    const state = { sent: false };
    const stop = new AbortController();
    const done = new AbortController();
    onAbort(req.signal, done.signal, () => {
      stop.abort(new Error('the time limit has passed or the caller has gone'));
    });
    onAbort(req.startSignal, done.signal, () => {
      if (!state.sent) {
        stop.abort(new Error('the request was stopped before it was sent'));
      }
    });
    try {
      const res = await this.#request(req, stop.signal, state);
      const answer = await this.#read(res);
      void (answer.rest?.ended ?? Promise.resolve()).finally(() => {
        done.abort();
      });
      return ok(answer);
    } catch (error) {
      done.abort();
      return err({ message: error instanceof Error ? error.message : String(error), sent: state.sent });
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #request(
    req: TargetRequest,
    signal: AbortSignal,
    state: { sent: boolean },
  ): Promise<Dispatcher.ResponseData> {
    const start = createRequestStartInterceptor((controller) => {
      const problem = state.sent ? 'the request was written before' : req.beforeSend();
      if (problem !== undefined || signal.aborted) {
        controller.abort(new Error(problem ?? 'the request was cancelled'));
        return;
      }
      state.sent = true;
      req.onSent?.();
    });
    return this.#agent.compose(start).request({
      body: req.body,
      headers: { 'content-type': req.contentType, 'sequoiaquay-request-id': req.id },
      method: 'POST',
      origin: `http://${req.address}`,
      path: `/jobs/${req.job}`,
      // The connection is closed after the answer.
      reset: true,
      signal,
    });
  }

  async #read(res: Dispatcher.ResponseData): Promise<TargetAnswer> {
    const headers = endToEndHeaders(res.headers);
    if (!hasVerifiableEnd(res)) {
      res.body.destroy();
      throw new Error('the answer has neither a length nor chunks, so its end could not be told from a cut');
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const iterator = res.body.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
    for (;;) {
      const next = await iterator.next();
      if (next.done === true) {
        return { body: Buffer.concat(chunks), headers, status: res.statusCode };
      }
      chunks.push(next.value);
      size += next.value.length;
      if (size > this.#bufferLimit) {
        return {
          body: Buffer.concat(chunks),
          headers,
          rest: restOf(iterator, lengthOf(res)),
          status: res.statusCode,
        };
      }
    }
  }
}

function restOf(iterator: AsyncIterator<Buffer>, totalBytes: number | undefined): AnswerRest {
  const stream = new PassThrough();
  const source = Readable.from({ [Symbol.asyncIterator]: () => iterator });
  const ended = pipeline(source, stream).then(
    () => true,
    () => false,
  );
  // Errors are reported by `ended`; a stream without a reader must not raise them.
  stream.on('error', () => undefined);
  return { ended, stream, totalBytes };
}

function lengthOf(res: Dispatcher.ResponseData): number | undefined {
  const value = res.headers['content-length'];
  return typeof value === 'string' ? Number(value) : undefined;
}

// A body that ends with the connection looks the same whether it is whole or cut.
function hasVerifiableEnd(res: Dispatcher.ResponseData): boolean {
  return (
    res.statusCode === 204 ||
    res.statusCode === 304 ||
    res.headers['content-length'] !== undefined ||
    res.headers['transfer-encoding'] !== undefined
  );
}

function onAbort(signal: AbortSignal, done: AbortSignal, task: () => void): void {
  if (signal.aborted) {
    task();
    return;
  }
  signal.addEventListener('abort', task, { once: true, signal: done });
}
