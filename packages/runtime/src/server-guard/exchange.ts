import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GuardRefusal } from './guard-limits';
import { BodyBuffer } from './body-buffer';

/** A request and its answer. */
export class Exchange {
  readonly body = new BodyBuffer();
  chunks = 0;
  /** Bytes that arrived after the refusal. */
  discardedBytes = 0;
  /** Time at which the answer was first seen to be complete, in ms. */
  answeredAt: number | undefined;
  heldBytes = 0;
  isComplete = false;
  /** Whether the request was passed on, or its refusal written. */
  isDispatched = false;
  lastByteAt: number;
  refusal: GuardRefusal | undefined;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    /** Most bytes of the body. */
    readonly maxBodyBytes: number,
    /** Time at which the headers arrived, in ms. */
    readonly startedAt: number,
  ) {
    this.lastByteAt = startedAt;
  }

  /** Writes the refusal, which ends the connection; with `isOpen` the end waits for `endAnswer`. */
  writeRefusal(refusal: GuardRefusal, isOpen: boolean): void {
    const body = JSON.stringify({ error: refusal.message });
    const { res } = this;
    if (refusal.retryAfterS !== undefined) {
      res.setHeader('retry-after', String(refusal.retryAfterS));
    }
    res.writeHead(refusal.status ?? 400, {
      connection: 'close',
      'content-length': Buffer.byteLength(body),
      'content-type': 'application/json',
    });
    res.write(body);
    if (!isOpen) {
      res.end();
    }
  }

  /** Ends an answer that was left open. */
  endAnswer(): void {
    if (!this.res.writableEnded) {
      this.res.end();
    }
  }
}
