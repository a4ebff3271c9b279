import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** Invalid or unusual responses that the executor stand-in can send. */
export const MISBEHAVIOUR = {
  /** A body with each of the 256 byte values, which is not valid UTF-8. */
  binary: 'binary',
  /** Closes the connection after the run, before the response. */
  cutBeforeAnswer: 'cut-before-answer',
  /** Sends half of a chunked response, then closes the connection. */
  cutChunked: 'cut-chunked',
  /** Sends half of a response with a content length, then closes the connection. */
  cutLength: 'cut-length',
  /** Closes the connection when the request headers have arrived; nothing runs. */
  cutOnHead: 'cut-on-head',
  /** Sends a second response directly after the first, in the same write. */
  extraAnswer: 'extra-answer',
  /** Sends hop-by-hop headers, which a proxy must remove, and end-to-end headers. */
  headers: 'headers',
  /** Sends a second response 100 ms after the first. */
  lateAnswer: 'late-answer',
  /** Sends half of a response without a content length, delimited by the end of the connection. */
  noLength: 'no-length',
  /** Sends a chunked response of the requested size in pieces. */
  pieces: 'pieces',
  /** Sends half of a chunked response of the requested size in pieces, then closes the connection. */
  piecesCut: 'pieces-cut',
  /** Sends half of a response of the requested size with a content length, then closes the connection. */
  piecesLengthCut: 'pieces-length-cut',
  /** Sends a response of the requested size with a content length in pieces. */
  piecesLength: 'pieces-length',
} as const;

/** An invalid or unusual response that the executor stand-in can send. */
export type Misbehaviour = (typeof MISBEHAVIOUR)[keyof typeof MISBEHAVIOUR];

/** Parameters of a misbehaving response. */
export interface MisbehavingResponse {
  /** Body of the correct response. */
  body: string;
  incoming: IncomingMessage;
  misbehaviour: Misbehaviour;
  outgoing: ServerResponse;
  /** Pause after each piece, in ms. */
  pauseMs: number;
  /** Size of a response that is sent in pieces. */
  sizeBytes: number;
}

const STALE_RESPONSE =
  'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{"stale": true}';
const PIECE_BYTES = 65_536;
const LATE_RESPONSE_DELAY_MS = 100;

/** Returns the misbehaviour that the `misbehave` parameter of a content type names, if any. */
export function parseMisbehaviour(contentType: string): Misbehaviour | undefined {
  const name = /misbehave=([a-z-]+)/.exec(contentType)?.[1];
  return Object.values(MISBEHAVIOUR).find((value) => value === name);
}

/** Sends a misbehaving response, where necessary as raw bytes on the socket. */
export async function sendMisbehavingResponse(response: MisbehavingResponse): Promise<void> {
  const { body, incoming, misbehaviour, outgoing } = response;
  const { socket } = incoming;
  const rawResponse = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  switch (misbehaviour) {
    case 'binary':
      outgoing.end(Buffer.from(Array.from({ length: 256 }, (_, value) => value)));
      return;
    case 'cut-before-answer':
    case 'cut-on-head':
      socket.destroy();
      return;
    case 'cut-chunked':
      outgoing.write(body.slice(0, body.length / 2), () => socket.destroy());
      return;
    case 'cut-length':
      socket.end(rawResponse.slice(0, rawResponse.length - body.length / 2));
      return;
    case 'extra-answer':
      socket.write(rawResponse + STALE_RESPONSE);
      return;
    case 'headers':
      outgoing.writeHead(200, {
        connection: 'close, x-hop',
        etag: '"v1"',
        'keep-alive': 'timeout=77',
        'set-cookie': ['a=1', 'b=2'],
        'x-hop': 'not for the caller',
      });
      outgoing.end(body);
      return;
    case 'late-answer':
      socket.write(rawResponse);
      await delay(LATE_RESPONSE_DELAY_MS);
      socket.write(STALE_RESPONSE);
      return;
    case 'no-length':
      socket.end(
        `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${body.slice(0, body.length / 2)}`,
      );
      return;
    default:
      await sendInPieces(response);
  }
}

async function sendInPieces({
  misbehaviour,
  outgoing,
  pauseMs,
  sizeBytes,
}: MisbehavingResponse): Promise<void> {
  const isTruncated = misbehaviour === 'pieces-cut' || misbehaviour === 'pieces-length-cut';
  if (misbehaviour === 'pieces-length' || misbehaviour === 'pieces-length-cut') {
    outgoing.setHeader('content-length', sizeBytes);
  }
  const endBytes = isTruncated ? sizeBytes / 2 : sizeBytes;
  for (let sentBytes = 0; sentBytes < endBytes && !outgoing.destroyed; sentBytes += PIECE_BYTES) {
    const piece = Buffer.alloc(Math.min(PIECE_BYTES, endBytes - sentBytes), 'x');
    await new Promise<void>((resolve) => {
      outgoing.once('close', resolve);
      outgoing.write(piece, () => {
        outgoing.off('close', resolve);
        resolve();
      });
    });
    await delay(pauseMs);
  }
  if (isTruncated) {
    outgoing.destroy();
  } else {
    outgoing.end();
  }
}
