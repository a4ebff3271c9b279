import type { Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { AnswerRest, HeaderMap, WholeAnswer } from './target-answer';

/** Reason why a request body could not be read; `cut` means that it ended early. */
export type BodyError = 'cut' | 'too-large';

/** Answer to write: the buffered bytes, followed by a stream for a large answer. */
export interface OutgoingAnswer extends WholeAnswer {
  rest?: AnswerRest;
}

/** Options for writing an answer. */
export interface WriteOptions {
  /** Aborts at the deadline; the connection is then reset. */
  deadlineSignal: AbortSignal;
  /** Whether to read the target's answer to its end after the caller has disconnected. */
  readToEnd: boolean;
}

/** Maximum bytes of a refused upload that are discarded so that the caller can read the refusal. */
const MAX_DISCARDED_BYTES = 16 * 1_048_576;

/** Reads a request body; fails as soon as it exceeds the limit. */
export async function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
    return err('too-large');
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) {
        return err('too-large');
      }
      chunks.push(chunk);
    }
  } catch {
    return err('cut');
  }
  return incoming.complete ? ok(Buffer.concat(chunks)) : err('cut');
}

/** Discards the rest of a refused upload; closes the connection if the rest is too long. */
export function discardBody(incoming: IncomingMessage): void {
  let discardedBytes = 0;
  incoming.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      incoming.destroy();
    }
  });
  incoming.on('error', () => undefined);
}

/** Creates a signal that aborts if the connection closes before the answer is written. */
export function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
  const disconnected = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      disconnected.abort();
    }
  });
  outgoing.on('error', () => undefined);
  return disconnected.signal;
}

/** Writes an answer; resets the connection if the answer can't be written completely. */
export function writeAnswer(
  outgoing: ServerResponse,
  answer: OutgoingAnswer,
  headers: HeaderMap,
  options: WriteOptions,
): void {
  const length = answer.rest === undefined ? answer.body.length : answer.rest.totalBytes;
  outgoing.writeHead(answer.status, {
    ...answer.headers,
    ...headers,
    ...(length === undefined || hasNoBody(answer.status) ? {} : { 'content-length': String(length) }),
  });
  const abort = (): void => {
    reset(outgoing);
  };
  options.deadlineSignal.addEventListener('abort', abort, { once: true });
  outgoing.once('close', () => {
    options.deadlineSignal.removeEventListener('abort', abort);
  });
  if (answer.rest === undefined) {
    outgoing.end(answer.body);
    return;
  }
  outgoing.write(answer.body);
  writeRest(outgoing, answer.rest, options.readToEnd);
  if (options.deadlineSignal.aborted) {
    abort();
  }
}

function writeRest(outgoing: ServerResponse, rest: AnswerRest, keepReading: boolean): void {
  const { stream } = rest;
  const forward = (chunk: Buffer): void => {
    if (!outgoing.write(chunk)) {
      stream.pause();
    }
  };
  outgoing.on('drain', () => {
    stream.resume();
  });
  stream.on('data', forward);
  stream.once('end', () => outgoing.end());
  stream.once('close', () => {
    if (!stream.readableEnded) {
      reset(outgoing);
    }
  });
  outgoing.once('close', () => {
    stream.off('data', forward);
    if (keepReading) {
      stream.resume();
    } else {
      stream.destroy();
    }
  });
  if (stream.errored !== null || outgoing.destroyed) {
    reset(outgoing);
  }
}

// Unlike a regular close, a reset can't be mistaken for the end of an answer without a length.
function reset(outgoing: ServerResponse): void {
  if (!outgoing.writableFinished) {
    outgoing.socket?.resetAndDestroy();
    outgoing.destroy();
  }
}

function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
