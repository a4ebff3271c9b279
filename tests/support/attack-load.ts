import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

/** Delay before a connection that the server closed is opened again, in ms, and how often that is done. */
const REOPEN_DELAY_MS = 1000;
const MAX_REOPENS = 2;

/** Time without progress after which a connection counts as held by the server, in ms. */
const STALL_MS = 3000;

/** Longest wait until the load is sent as far as the server takes it, in ms. */
const MAX_SEND_MS = 15_000;

const HOST = 'jobs.example';
const POST = `POST /render/00000000000000aa HTTP/1.1\r\nhost: ${HOST}\r\n`;

/** Connections of one kind of attack. */
export interface AttackKind {
  connections: number;
  /** Whether the client waits for the answer to each part before it sends the next. */
  isPaced?: boolean;
  /** Whether the client reads what the server answers. */
  isReading: boolean;
  /** Parts that a connection sends in their order; it stays open after the last. */
  parts: (connection: number) => Iterable<Buffer>;
}

/** Load of misbehaving clients on one port of the loopback interface. */
export class AttackLoad {
  #isClosed = false;
  readonly #sockets = new Set<Socket>();

  constructor(
    private readonly port: number,
    private readonly kinds: readonly AttackKind[],
  ) {}

  /** Opens all connections; resolves when they have sent what the server takes, and leaves them open. */
  async send(): Promise<void> {
    const sent = this.kinds.flatMap((kind) =>
      Array.from({ length: kind.connections }, (_, index) => this.#keepOpen(kind, index)),
    );
    await Promise.race([Promise.all(sent), delay(MAX_SEND_MS, undefined, { ref: false })]);
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  async #keepOpen(kind: AttackKind, index: number): Promise<void> {
    for (let opened = 0; opened <= MAX_REOPENS && !this.#isClosed; opened += 1) {
      const socket = connect(this.port, '127.0.0.1');
      this.#sockets.add(socket);
      const closed = new Promise<'closed'>((resolve) => {
        socket.once('close', () => {
          this.#sockets.delete(socket);
          resolve('closed');
        });
      });
      socket.on('error', () => undefined);
      if (kind.isReading) {
        socket.resume();
      }
      const pace = kind.isPaced === true ? createPace(socket) : undefined;
      const held = sendParts(socket, kind.parts(index), closed, pace).then(() => delay(STALL_MS));
      if ((await Promise.race([closed, held])) !== 'closed') {
        return;
      }
      await delay(REOPEN_DELAY_MS);
    }
  }
}

async function sendParts(
  socket: Socket,
  parts: Iterable<Buffer>,
  closed: Promise<unknown>,
  pace?: () => Promise<unknown>,
): Promise<void> {
  for (const part of parts) {
    if (socket.destroyed) {
      return;
    }
    if (!socket.write(part)) {
      const drained = new Promise((resolve) => socket.once('drain', resolve));
      await Promise.race([drained, closed, delay(STALL_MS, undefined, { ref: false })]);
    }
    if (pace !== undefined) {
      await Promise.race([pace(), closed, delay(MAX_SEND_MS, undefined, { ref: false })]);
    }
  }
}

/** Returns a function that waits for one more answer. */
function createPace(socket: Socket): () => Promise<unknown> {
  let awaited = 0;
  let answers = 0;
  let onAnswer = (): void => undefined;
  socket.on('data', (bytes: Buffer) => {
    answers += bytes.toString('latin1').split('HTTP/1.').length - 1;
    onAnswer();
  });
  return () => {
    awaited += 1;
    return new Promise<void>((resolve) => {
      onAnswer = (): void => {
        if (answers >= awaited) {
          resolve();
        }
      };
      onAnswer();
    });
  };
}

function repeat(part: Buffer, count: number): Buffer[] {
  return Array.from({ length: count }, () => part);
}

function toChunk(length: number): Buffer {
  return Buffer.from(`${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`);
}

const CHUNKED_HEADERS = Buffer.from(`${POST}transfer-encoding: chunked\r\n\r\n`);
const LARGE_CHUNK = toChunk(16_384);
const SHORT_LAST_CHUNK = Buffer.from(`4000\r\n${'x'.repeat(16_374)}`);
const ONE_BYTE_CHUNKS = Buffer.from(toChunk(1).toString().repeat(2000));
const BODY_PART = Buffer.alloc(16_384, 'x');
const LAST_BODY_PART = Buffer.alloc(262_000 - 15 * 16_384 - 10, 'x');

/** Kinds of attack, with the size of the crowd that the bounds of the tests are meant for. */
export const ATTACK = {
  announcedBodies: {
    connections: 600,
    isReading: true,
    parts: () => [Buffer.from(`${POST}content-length: 2000000000\r\n\r\n`), ...repeat(BODY_PART, 16)],
  },
  endlessHeaders: {
    connections: 600,
    isReading: true,
    parts: (connection) => [
      Buffer.from(connection % 2 === 0 ? POST : 'GET / HTTP/1.1\r\n'),
      ...repeat(Buffer.from(`x-filler: ${'x'.repeat(1000)}\r\n`), connection % 4 < 2 ? 14 : 200),
    ],
  },
  idleConnections: { connections: 1500, isReading: true, parts: () => [] },
  largeChunks: {
    connections: 600,
    isReading: true,
    parts: () => [CHUNKED_HEADERS, ...repeat(LARGE_CHUNK, 15), SHORT_LAST_CHUNK],
  },
  oneByteChunks: {
    connections: 64,
    isReading: true,
    parts: () => [CHUNKED_HEADERS, ...repeat(ONE_BYTE_CHUNKS, 30)],
  },
  pipelinedDeletes: createPipeline('DELETE /render/00000000000000ab', ''),
  pipelinedGets: createPipeline('GET /render/00000000000000ab', ''),
  pipelinedPosts: createPipeline('POST /render/00000000000000ab', 'x'.repeat(400)),
  sentBodies: {
    connections: 64,
    isReading: true,
    parts: () => [CHUNKED_HEADERS, ...repeat(LARGE_CHUNK, 512)],
  },
  shortBodies: {
    connections: 600,
    isReading: true,
    parts: () => [
      Buffer.from(`${POST}content-length: 262000\r\n\r\n`),
      ...repeat(BODY_PART, 15),
      LAST_BODY_PART,
    ],
  },
} as const satisfies Record<string, AttackKind>;

/** Kinds of attack at the same time, each with a part of its crowd. */
export const MIXED_ATTACK: readonly AttackKind[] = Object.values(ATTACK).map((kind: AttackKind) => ({
  ...kind,
  connections: Math.ceil(kind.connections / 8),
}));

/** Returns a crowd of pipelines whose answers are not read, every other one without Host or a length. */
function createPipeline(requestLine: string, body: string): AttackKind {
  const complete = `${requestLine} HTTP/1.1\r\nhost: ${HOST}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const bare = `${requestLine} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n`;
  const parts = [complete, bare].map((text) => Buffer.from(text.repeat(200)));
  return {
    connections: 48,
    isReading: false,
    parts: (connection) => repeat(parts[connection % 2] ?? BODY_PART, 50),
  };
}

/** Returns a crowd of pipelines that ask for a path without reading the answers. */
export function createPathPipeline(path: string): AttackKind {
  return createPipeline(`GET ${path}`, '');
}
