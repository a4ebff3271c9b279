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
  /** Called on a ready connection before the first byte; a returned reason stops the request unsent. */
  beforeSend: () => string | undefined;
  body: Buffer;
  contentType: string;
  id: string;
  job: string;
  /** Called immediately before the first byte is written. */
  onSent?: () => void;
  /** Aborts the request, even while it is running on the target. */
  signal: AbortSignal;
  /** Aborts the request only if no byte of it has been written. */
  startSignal: AbortSignal;
}

/** Failure of a request without a complete answer. */
export interface TargetError {
  /** Whether any byte of the request may have reached the target. */
  isSent: boolean;
  message: string;
}

/** Settings of the target client. */
export interface TargetClientSettings {
  /** Maximum size of an answer that is buffered, in bytes; the rest of a larger answer is streamed. */
  bufferLimitBytes: number;
  connectTimeoutMs: number;
  /** Maximum connections per target. */
  maxConnections: number;
}

/**
 * Sends requests to targets, each over its own connection, so that a late or repeated answer or extra
 * bytes after an answer are never mistaken for the answer to another request.
 */
export class TargetClient {
  #agent: Agent;
  readonly #bufferLimitBytes: number;

  #maxConnections: number;

  constructor(private readonly settings: TargetClientSettings) {
    this.#bufferLimitBytes = settings.bufferLimitBytes;
    this.#maxConnections = settings.maxConnections;
    this.#agent = this.#createAgent();
  }

  /** Changes the maximum connections per target; running requests keep their connections. */
  resize(maxConnections: number): void {
    if (maxConnections !== this.#maxConnections) {
      this.#maxConnections = maxConnections;
      void this.#agent.close();
      this.#agent = this.#createAgent();
    }
  }

  #createAgent(): Agent {
    return new Agent({
      connect: { timeout: this.settings.connectTimeoutMs },
      connections: this.#maxConnections,
      // The request's deadline limits its run time, so the agent's timeouts are disabled.
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 1,
    });
  }

  /** Sends a request and reads its answer up to the buffer limit. */
  async send(req: TargetRequest): Promise<Result<TargetAnswer, TargetError>> {
    const state = { isSent: false };
    const stop = new AbortController();
    const done = new AbortController();
    onAbort(req.signal, done.signal, () => {
      stop.abort(new Error('the time limit has passed or the caller has disconnected'));
    });
    onAbort(req.startSignal, done.signal, () => {
      if (!state.isSent) {
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
      return err({ message: error instanceof Error ? error.message : String(error), isSent: state.isSent });
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #request(
    req: TargetRequest,
    signal: AbortSignal,
    state: { isSent: boolean },
  ): Promise<Dispatcher.ResponseData> {
    const start = createRequestStartInterceptor((controller) => {
      const reason = state.isSent ? 'the request has already been written' : req.beforeSend();
      if (reason !== undefined || signal.aborted) {
        controller.abort(new Error(reason ?? 'the request was cancelled'));
        return;
      }
      state.isSent = true;
      req.onSent?.();
    });
    return this.#agent.compose(start).request({
      body: req.body,
      headers: { 'content-type': req.contentType, 'sequoiaquay-request-id': req.id },
      method: 'POST',
      origin: `http://${req.address}`,
      path: `/jobs/${req.job}`,
      // Closes the connection after the answer.
      reset: true,
      signal,
    });
  }

  async #read(res: Dispatcher.ResponseData): Promise<TargetAnswer> {
    const headers = endToEndHeaders(res.headers);
    if (!hasVerifiableEnd(res)) {
      res.body.destroy();
      throw new Error(
        'the answer has neither a content length nor chunked encoding, so a truncated body cannot be detected',
      );
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
      if (size > this.#bufferLimitBytes) {
        return {
          body: Buffer.concat(chunks),
          headers,
          rest: streamRest(iterator, contentLengthOf(res)),
          status: res.statusCode,
        };
      }
    }
  }
}

function streamRest(iterator: AsyncIterator<Buffer>, totalBytes: number | undefined): AnswerRest {
  const stream = new PassThrough();
  const source = Readable.from({ [Symbol.asyncIterator]: () => iterator });
  const ended = pipeline(source, stream).then(
    () => true,
    () => false,
  );
  // `ended` reports errors; without this listener a stream without a reader would throw them.
  stream.on('error', () => undefined);
  return { ended, stream, totalBytes };
}

function contentLengthOf(res: Dispatcher.ResponseData): number | undefined {
  const value = res.headers['content-length'];
  return typeof value === 'string' ? Number(value) : undefined;
}

// A body that ends when the connection closes can be truncated without notice.
function hasVerifiableEnd(res: Dispatcher.ResponseData): boolean {
  return (
    res.statusCode === 204 ||
    res.statusCode === 304 ||
    res.headers['content-length'] !== undefined ||
    res.headers['transfer-encoding'] !== undefined
  );
}

function onAbort(signal: AbortSignal, done: AbortSignal, callback: () => void): void {
  if (signal.aborted) {
    callback();
    return;
  }
  signal.addEventListener('abort', callback, { once: true, signal: done });
}
