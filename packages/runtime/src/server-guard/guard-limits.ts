/** Limits of a server that stay the same while it runs. */
export interface GuardLimits {
  /** Time in which a client must take an answer, in ms. */
  answerMs: number;
  /** Time in which a whole body must arrive, in ms. */
  bodyMs: number;
  /** Time without a further byte after which an unfinished body is refused, in ms. */
  bodyStallMs: number;
  /** Most connections that are open at the same time. */
  connections: number;
  /** Most bytes of the request line and the headers of a request. */
  headerBytes: number;
  /** Most bytes that are held for requests without an answer. */
  heldBytes: number;
  /** Most requests of a connection without an answer. */
  pipelinedRequests: number;
}

/** Limits of requests, which may change while the server runs. */
export interface RequestBounds {
  /** Most bytes of a body. */
  bodyBytes: number;
  /** Most bytes of the request line and the headers; has no effect above the limit of the server. */
  headerBytes: number;
  /** Time in which the headers of a request must arrive, in ms. */
  headerMs: number;
  /** Time for which clients may leave a connection idle, in ms. */
  idleMs: number;
}

/** Reason of a refusal, and the status with which it is answered; without a status the connection is closed. */
export interface GuardRefusal {
  message: string;
  reason: string;
  /** Delay after which the client may repeat the request, in seconds. */
  retryAfterS?: number;
  status?: number;
}

/** Refusals of a guarded server. The request of a refusal with a status has not been run. */
export const GUARD_REFUSAL = {
  answerUnread: { message: 'the answer was not read in time', reason: 'answer-unread' },
  bodySlow: { message: 'the body did not arrive in time', reason: 'body-slow', status: 408 },
  bodyTooLarge: { message: 'the body is too large', reason: 'body-too-large', status: 413 },
  connections: { message: 'too many connections', reason: 'connections' },
  headerSlow: { message: 'the headers did not arrive in time', reason: 'header-slow', status: 408 },
  headerTooLarge: { message: 'the headers are too large', reason: 'header-too-large', status: 431 },
  heldBytes: {
    message: 'too many bytes of requests are held',
    reason: 'held-bytes',
    retryAfterS: 1,
    status: 503,
  },
  idle: { message: 'no request in time', reason: 'idle' },
  malformed: { message: 'the request is malformed', reason: 'malformed', status: 400 },
  pipelined: { message: 'too many requests without an answer', reason: 'pipelined' },
  smallChunks: {
    message: 'too many bodies arrive in small chunks',
    reason: 'small-chunks',
    retryAfterS: 1,
    status: 503,
  },
} as const satisfies Record<string, GuardRefusal>;
