import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { STATUS_CODES } from 'node:http';
import { Socket } from 'node:net';
import type { TimerService } from '../timer-service';
import type { GuardLimits, GuardRefusal, RequestBounds } from './guard-limits';
import type { GuardStats, GuardUse } from './guard-stats';
import { DispatchTurns } from './dispatch-turns';
import { Exchange } from './exchange';
import { GUARD_REFUSAL } from './guard-limits';
import { GuardedConnection } from './guarded-connection';
import { chooseBody, chooseConnection } from './victim-choice';

/** Passes a request on whose whole body has arrived, as `rawBody`. */
export type GuardedHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Memory of a request and its answer beside the body, in bytes, rounded up. */
const REQUEST_BYTES = 4096;

/** A body of more chunks than this counts as one in small chunks if its mean chunk is below `MIN_CHUNK_BYTES`. */
const MAX_SMALL_CHUNKS = 1024;
const MIN_CHUNK_BYTES = 32;

/** Most bodies in small chunks at the same time: each chunk takes processor time, so that many starve the process. */
const MAX_SMALL_CHUNK_BODIES = 8;

/**
 * Time and bytes for which a body that was refused is still read, so that the client can read the answer: a
 * connection that is closed with unread bytes is reset.
 */
const LINGER_MS = 1000;
const LINGER_BYTES = 262_144;

/** Most refused bodies that are read at the same time; the connections of further ones are closed at once. */
const MAX_LINGERING = 16;

/** Bytes that take about as long to read as the handling of a chunk. */
const CHUNK_COST_BYTES = 256;

/** Interval between checks of the deadlines, in ms. */
export const CHECK_INTERVAL_MS = 500;

/** Keeps the memory and the descriptors that clients of a server can take within limits. */
export class ServerGuard {
  readonly #connections = new Map<Socket, GuardedConnection>();
  readonly #turns = new DispatchTurns<GuardedConnection>((connection) => {
    this.#serveNext(connection);
  });
  #heldBytes = 0;
  /** Unfinished bodies that arrive in small chunks. */
  readonly #smallChunkBodies = new Set<Exchange>();
  #lingering = 0;

  constructor(
    private readonly server: Server,
    private readonly handle: GuardedHandler,
    private readonly limits: GuardLimits,
    private readonly bounds: () => RequestBounds,
    readonly stats: GuardStats,
    private readonly timers: TimerService,
    signal: AbortSignal,
  ) {
    server.on('connection', (socket) => {
      this.#onConnection(socket);
    });
    server.on('request', (req, res) => {
      this.#onRequest(req, res);
    });
    server.on('checkContinue', (req, res) => {
      this.#onRequest(req, res, true);
    });
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) {
        this.#onClientError(error, socket);
      }
    });
    timers.every(
      CHECK_INTERVAL_MS,
      () => {
        this.#check();
      },
      signal,
    );
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Bytes that are held for requests without an answer. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  #onConnection(socket: Socket): void {
    const now = this.timers.mono();
    if (this.#connections.size >= this.limits.connections) {
      const victim = chooseConnection([...this.#connections.values()], now);
      if (victim === undefined) {
        this.stats.count(GUARD_REFUSAL.connections, socket.remoteAddress ?? '');
        socket.destroy();
        return;
      }
      this.#close(victim, GUARD_REFUSAL.connections);
    }
    this.#connections.set(socket, new GuardedConnection(socket, now));
    socket.once('close', () => {
      this.#forget(socket);
    });
    this.#applyTimeouts();
  }

  // The server reads its limits at each check, and the idle limit, to which it adds a second, after each answer.
  #applyTimeouts(): void {
    const { headerMs, idleMs } = this.bounds();
    this.server.headersTimeout = headerMs;
    this.server.keepAliveTimeout = idleMs;
  }

  #onRequest(req: IncomingMessage, res: ServerResponse, awaitsContinue = false): void {
    const connection = this.#connections.get(req.socket);
    if (connection === undefined || connection.isRefused) {
      return;
    }
    const now = this.timers.mono();
    const bounds = this.bounds();
    const exchange = new Exchange(req, res, bounds.bodyBytes, now);
    connection.exchanges.push(exchange);
    if (connection.exchanges.length > this.limits.pipelinedRequests) {
      this.#close(connection, GUARD_REFUSAL.pipelined);
      return;
    }
    res.once('close', () => {
      this.#onAnswered(connection, exchange);
    });
    this.#applyTimeouts();
    this.#readBody(connection, exchange);
    const refusal = checkHead(req, bounds);
    if (refusal !== undefined) {
      this.#refuse(connection, exchange, refusal);
      return;
    }
    if (awaitsContinue) {
      res.writeContinue();
    }
    this.#hold(connection, exchange, REQUEST_BYTES);
  }

  #readBody(connection: GuardedConnection, exchange: Exchange): void {
    const { req } = exchange;
    req.on('data', (chunk: Buffer) => {
      this.#onChunk(connection, exchange, chunk);
    });
    req.on('end', () => {
      exchange.isComplete = true;
      this.#smallChunkBodies.delete(exchange);
      if (exchange.refusal === undefined) {
        this.#serveNext(connection);
      } else if (exchange.isDispatched) {
        exchange.endAnswer();
      }
    });
    // The error of a request that ends too early; the socket is closed then.
    req.on('error', () => undefined);
  }

  #onChunk(connection: GuardedConnection, exchange: Exchange, chunk: Buffer): void {
    if (connection.isRefused) {
      exchange.discardedBytes += chunk.length + CHUNK_COST_BYTES;
      if (exchange.isDispatched && exchange.discardedBytes > LINGER_BYTES) {
        exchange.endAnswer();
      }
      return;
    }
    exchange.chunks += 1;
    exchange.lastByteAt = this.timers.mono();
    if (exchange.body.length + chunk.length > exchange.maxBodyBytes) {
      this.#refuse(connection, exchange, GUARD_REFUSAL.bodyTooLarge);
      return;
    }
    const grownBytes = exchange.body.append(chunk);
    if (this.#exceedsSmallChunks(exchange)) {
      this.#refuse(connection, exchange, GUARD_REFUSAL.smallChunks);
    } else if (grownBytes > 0) {
      this.#hold(connection, exchange, grownBytes);
    }
  }

  #exceedsSmallChunks(exchange: Exchange): boolean {
    if (exchange.chunks <= MAX_SMALL_CHUNKS || exchange.body.length >= exchange.chunks * MIN_CHUNK_BYTES) {
      return false;
    }
    this.#smallChunkBodies.add(exchange);
    return this.#smallChunkBodies.size > MAX_SMALL_CHUNK_BODIES;
  }

  #hold(connection: GuardedConnection, exchange: Exchange, bytes: number): void {
    exchange.heldBytes += bytes;
    connection.heldBytes += bytes;
    this.#heldBytes += bytes;
    while (this.#heldBytes > this.limits.heldBytes) {
      const victim = chooseBody([...this.#connections.values()], this.timers.mono());
      const [head] = victim?.exchanges ?? [];
      if (victim === undefined || head === undefined) {
        this.#refuse(connection, exchange, GUARD_REFUSAL.heldBytes);
        return;
      }
      this.#refuse(victim, head, GUARD_REFUSAL.heldBytes);
    }
  }

  #release(connection: GuardedConnection, exchange: Exchange): void {
    connection.heldBytes -= exchange.heldBytes;
    this.#heldBytes -= exchange.heldBytes;
    exchange.heldBytes = 0;
    this.#smallChunkBodies.delete(exchange);
  }

  // Requests before it on the connection are still answered; it and those after it are not run.
  #refuse(connection: GuardedConnection, exchange: Exchange, refusal: GuardRefusal): void {
    if (connection.isRefused) {
      return;
    }
    this.stats.count(refusal, connection.peer);
    connection.isRefused = true;
    exchange.refusal = refusal;
    const first = connection.exchanges.indexOf(exchange);
    for (const dropped of connection.exchanges.slice(first)) {
      dropped.body.clear();
      this.#release(connection, dropped);
    }
    connection.exchanges.length = first + 1;
    this.#serveNext(connection);
  }

  #serveNext(connection: GuardedConnection): void {
    const [head] = connection.exchanges;
    if (head === undefined || head.isDispatched || connection.socket.destroyed) {
      return;
    }
    const { refusal, req, res } = head;
    if (refusal !== undefined) {
      head.isDispatched = true;
      const isLargeBody = refusal === GUARD_REFUSAL.bodyTooLarge && !head.isComplete;
      head.writeRefusal(refusal, isLargeBody && this.#startLingering(res));
    } else if (head.isComplete && this.#turns.take(connection, head.body.length)) {
      head.isDispatched = true;
      Object.assign(req, { rawBody: head.body.take() });
      this.handle(req, res);
    }
  }

  #startLingering(res: ServerResponse): boolean {
    if (this.#lingering >= MAX_LINGERING) {
      return false;
    }
    this.#lingering += 1;
    res.once('close', () => {
      this.#lingering -= 1;
    });
    return true;
  }

  #onAnswered(connection: GuardedConnection, exchange: Exchange): void {
    this.#release(connection, exchange);
    connection.remove(exchange, this.timers.mono());
    this.#serveNext(connection);
  }

  #close(connection: GuardedConnection, refusal: GuardRefusal): void {
    this.stats.count(refusal, connection.peer);
    connection.isRefused = true;
    this.#forget(connection.socket);
    connection.socket.destroy();
  }

  #forget(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    for (const exchange of connection.exchanges) {
      exchange.body.clear();
      this.#release(connection, exchange);
    }
    this.#turns.forget(connection);
    this.#connections.delete(socket);
  }

  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    // The header timeout also runs before the first byte, where the idle limit applies.
    if (isTimeout && socket.bytesRead === 0) {
      return;
    }
    const refusal = toRefusal(error);
    if (refusal !== undefined && connection !== undefined) {
      this.stats.count(refusal, connection.peer);
      // While a request has no answer, a response here could be taken for its answer.
      if (connection.exchanges.length === 0 && socket.writable) {
        socket.write(formatRefusal(refusal));
      }
    }
    socket.destroy();
  }

  #check(): void {
    const now = this.timers.mono();
    for (const connection of this.#connections.values()) {
      this.#checkDeadlines(connection, now);
    }
    this.stats.writeLines(() => this.#use());
  }

  #checkDeadlines(connection: GuardedConnection, now: number): void {
    const [head] = connection.exchanges;
    if (head === undefined) {
      if (!connection.hasServed && now - connection.idleSince > this.bounds().idleMs) {
        this.#close(connection, GUARD_REFUSAL.idle);
      }
      return;
    }
    if (head.res.writableEnded || head.refusal !== undefined) {
      head.answeredAt ??= now;
      if (now - head.answeredAt > LINGER_MS) {
        head.endAnswer();
      }
      if (now - head.answeredAt > this.limits.answerMs) {
        this.#close(connection, GUARD_REFUSAL.answerUnread);
      }
      return;
    }
    const last = connection.exchanges.at(-1) ?? head;
    const isSlow =
      now - last.lastByteAt > this.limits.bodyStallMs || now - last.startedAt > this.limits.bodyMs;
    if (!last.isComplete && last.refusal === undefined && isSlow) {
      this.#refuse(connection, last, GUARD_REFUSAL.bodySlow);
    }
  }

  #use(): GuardUse {
    const byPeer = new Map<string, { bytes: number; connections: number }>();
    let largestPeer = '';
    for (const { heldBytes, peer } of this.#connections.values()) {
      const use = byPeer.get(peer) ?? { bytes: 0, connections: 0 };
      use.bytes += heldBytes;
      use.connections += 1;
      byPeer.set(peer, use);
      if (use.connections >= (byPeer.get(largestPeer)?.connections ?? 0)) {
        largestPeer = peer;
      }
    }
    const largest = byPeer.get(largestPeer);
    return {
      connections: this.#connections.size,
      heldBytes: this.#heldBytes,
      largestPeer,
      largestPeerBytes: largest?.bytes ?? 0,
      largestPeerConnections: largest?.connections ?? 0,
    };
  }
}

function checkHead(req: IncomingMessage, bounds: RequestBounds): GuardRefusal | undefined {
  if (Number(req.headers['content-length'] ?? 0) > bounds.bodyBytes) {
    return GUARD_REFUSAL.bodyTooLarge;
  }
  // Each name and value is followed by two characters, and so is the request line.
  const length = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, (req.url ?? '').length + 2);
  return length > bounds.headerBytes ? GUARD_REFUSAL.headerTooLarge : undefined;
}

// A connection that was reset is no refusal.
function toRefusal({ code = '' }: NodeJS.ErrnoException): GuardRefusal | undefined {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return GUARD_REFUSAL.headerSlow;
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    return GUARD_REFUSAL.headerTooLarge;
  }
  return code.startsWith('HPE_') ? GUARD_REFUSAL.malformed : undefined;
}

function formatRefusal({ status = 400 }: GuardRefusal): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
