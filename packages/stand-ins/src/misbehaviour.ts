import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** Ways in which the executor stand-in can answer wrongly or in an unusual form. */
export const MISBEHAVIOUR = {
  /** Bytes of all values, which are not UTF-8. */
  binary: 'binary',
  /** The connection ends after the run, before the answer. */
  cutBeforeAnswer: 'cut-before-answer',
  /** Half of a chunked answer, then the end of the connection. */
  cutChunked: 'cut-chunked',
  /** Half of an answer with a length, then the end of the connection. */
  cutLength: 'cut-length',
  /** The connection ends when the head of the request has arrived; nothing runs. */
  cutOnHead: 'cut-on-head',
  /** A second answer behind the first, in the same bytes. */
  extraAnswer: 'extra-answer',
  /** Hop-by-hop fields and useful ones. */
  headers: 'headers',
  /** A second answer some time after the first. */
  lateAnswer: 'late-answer',
  /** An answer without a length, ended by the connection, of which half is missing. */
  noLength: 'no-length',
  /** An answer of the asked size, in pieces. */
  pieces: 'pieces',
  /** An answer of the asked size, in pieces, which breaks off in the middle. */
  piecesCut: 'pieces-cut',
  /** An answer of the asked size with a length, which breaks off in the middle. */
  piecesLengthCut: 'pieces-length-cut',
  /** An answer of the asked size, with a length. */
  piecesLength: 'pieces-length',
} as const;

/** Way in which the executor stand-in misbehaves. */
export type Misbehaviour = (typeof MISBEHAVIOUR)[keyof typeof MISBEHAVIOUR];

/** An answer to give wrongly. */
export interface WrongAnswer {
  /** Size of a large answer, in bytes. */
  bytes: number;
  incoming: IncomingMessage;
  kind: Misbehaviour;
  outgoing: ServerResponse;
  /** Pause between the pieces of a large answer, in ms. */
  pauseMs: number;
  /** Body of the right answer. */
  text: string;
}

const STALE =
  'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{"stale": true}';
const PIECE_BYTES = 65_536;
const LATE_MS = 100;

/** Misbehaviour named by the `misbehave` parameter of a content type. */
export function misbehaviourOf(contentType: string): Misbehaviour | undefined {
  const name = /misbehave=([a-z-]+)/.exec(contentType)?.[1];
  return Object.values(MISBEHAVIOUR).find((kind) => kind === name);
}

/** Answers wrongly on the connection itself. */
export async function answerWrongly(wrong: WrongAnswer): Promise<void> {
  const { incoming, kind, outgoing, text } = wrong;
  const { socket } = incoming;
  const whole = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
  switch (kind) {
    case 'binary':
      outgoing.end(Buffer.from(Array.from({ length: 256 }, (_, value) => value)));
      return;
    case 'cut-before-answer':
    case 'cut-on-head':
      socket.destroy();
      return;
    case 'cut-chunked':
      outgoing.write(text.slice(0, text.length / 2), () => socket.destroy());
      return;
    case 'cut-length':
      socket.end(whole.slice(0, whole.length - text.length / 2));
      return;
    case 'extra-answer':
      socket.write(whole + STALE);
      return;
    case 'headers':
      outgoing.writeHead(200, {
        connection: 'close, x-hop',
        etag: '"v1"',
        'keep-alive': 'timeout=77',
        'set-cookie': ['a=1', 'b=2'],
        'x-hop': 'not for the caller',
      });
      outgoing.end(text);
      return;
    case 'late-answer':
      socket.write(whole);
      await delay(LATE_MS);
      socket.write(STALE);
      return;
    case 'no-length':
      socket.end(
        `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${text.slice(0, text.length / 2)}`,
      );
      return;
    default:
      await answerInPieces(wrong);
  }
}

async function answerInPieces({ bytes, kind, outgoing, pauseMs }: WrongAnswer): Promise<void> {
  const cut = kind === 'pieces-cut' || kind === 'pieces-length-cut';
  if (kind === 'pieces-length' || kind === 'pieces-length-cut') {
    outgoing.setHeader('content-length', bytes);
  }
  const end = cut ? bytes / 2 : bytes;
  for (let sent = 0; sent < end && !outgoing.destroyed; sent += PIECE_BYTES) {
    const piece = Buffer.alloc(Math.min(PIECE_BYTES, end - sent), 'x');
    await new Promise<void>((resolve) => {
      outgoing.once('close', resolve);
      outgoing.write(piece, () => {
        outgoing.off('close', resolve);
        resolve();
      });
    });
    await delay(pauseMs);
  }
  if (cut) {
    outgoing.destroy();
  } else {
    outgoing.end();
  }
}
