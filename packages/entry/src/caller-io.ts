import type { Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { AnswerRest, HeaderMap, WholeAnswer } from './target-answer';

/** Why the body of a request could not be read. */
export type BodyProblem = 'cut' | 'too-large';

/** An answer to write: buffered bytes and, for a large answer, a stream that follows them. */
export interface OutgoingAnswer extends WholeAnswer {
  rest?: AnswerRest;
}

/** How an answer is written. */
export interface WriteOptions {
  /** Goes on reading the target's answer when the caller can't take it any more. */
  keepReading: boolean;
  /** Cuts the answer off. */
  limit: AbortSignal;
}

/** Bytes of a refused upload that are read and dropped, so that the caller gets to read the refusal. */
const MAX_DROPPED_BYTES = 16 * 1_048_576;

/** Reads a request body and stops as soon as it is larger than the limit. */
export async function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyProblem>> {
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

/** Reads and drops the rest of a refused upload; a longer one ends with its connection. */
export function dropBody(incoming: IncomingMessage): void {
  let dropped = 0;
  incoming.on('data', (chunk: Buffer) => {
    dropped += chunk.length;
    if (dropped > MAX_DROPPED_BYTES) {
      incoming.destroy();
    }
  });
  incoming.on('error', () => undefined);
}

/** Signal that aborts when the caller's connection ends before its answer is written. */
export function callerGone(outgoing: ServerResponse): AbortSignal {
  const gone = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      gone.abort();
    }
  });
  outgoing.on('error', () => undefined);
  return gone.signal;
}

/** Writes an answer; one that can't be written whole ends with a reset of the connection. */
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
  const cut = (): void => {
    reset(outgoing);
  };
  options.limit.addEventListener('abort', cut, { once: true });
  outgoing.once('close', () => {
    options.limit.removeEventListener('abort', cut);
  });
  if (answer.rest === undefined) {
    outgoing.end(answer.body);
    return;
  }
  outgoing.write(answer.body);
  writeRest(outgoing, answer.rest, options.keepReading);
  if (options.limit.aborted) {
    cut();
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

// A reset can't be taken for the regular end of an answer that ends with its connection.
function reset(outgoing: ServerResponse): void {
  if (!outgoing.writableFinished) {
    outgoing.socket?.resetAndDestroy();
    outgoing.destroy();
  }
}

function hasNoBody(status: number): boolean {
  return status === 204 || status === 304;
}
