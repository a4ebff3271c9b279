import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import * as z from 'zod';
import type { NarrowLink } from './narrow-link';
import { LINK_PIECE_BYTES } from './narrow-link';

/** Schema of the faults that a route of the proxy injects. Times in ms, sizes in bytes. */
export const routeFaultsSchema = z.strictObject({
  /** Resets existing connections, and new ones as soon as they are accepted. */
  cut: z.boolean().default(false),
  /** Resets the connection after this many bytes of the response; 0 disables the fault. */
  cutAnswerAfterBytes: z.int().min(0).default(0),
  /** Delays each chunk, in both directions. */
  delayMs: z.number().min(0).default(0),
  /** Forwards requests and discards responses. */
  dropAnswers: z.boolean().default(false),
  /** Keeps connections open and holds back the data of both directions until the fault ends. */
  freeze: z.boolean().default(false),
});

/** Faults that a route of the proxy injects. */
export type RouteFaults = z.infer<typeof routeFaultsSchema>;

const FREEZE_POLL_INTERVAL_MS = 10;

/** TCP proxy from a loopback port to a target address, with faults that can change at any time. */
export class FaultRoute {
  #faults: RouteFaults = routeFaultsSchema.parse({});
  readonly #connections = new Set<{ client: Socket; upstream: Socket }>();
  #lastPort = 0;
  readonly #server: Server;

  /** `link` limits the rate of all connections of this route, and of other routes with the same link. */
  constructor(
    private readonly target: { host: string; port: number },
    private readonly link?: NarrowLink,
  ) {
    this.#server = createServer((client) => {
      this.#handleConnection(client);
    });
  }

  /** Listens on a loopback port; rejects when the port is in use. */
  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Listens on a free loopback port and returns its number. */
  async listenOnFreePort(): Promise<number> {
    await this.listen(0);
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening, clears the faults and closes all connections. */
  close(): void {
    this.#server.close();
    this.#faults = routeFaultsSchema.parse({});
    for (const pair of this.#connections) {
      pair.client.destroy();
      pair.upstream.destroy();
    }
  }

  /** Stops listening, so that new connections are refused, and closes the open ones. */
  refuseConnections(): Promise<void> {
    return new Promise((resolve) => {
      const address = this.#server.address();
      this.#lastPort = typeof address === 'object' && address !== null ? address.port : 0;
      this.#server.close(() => {
        resolve();
      });
      this.#destroyConnections();
    });
  }

  /** Listens again on the port that `refuseConnections` closed. */
  async acceptConnections(): Promise<void> {
    await this.listen(this.#lastPort);
  }

  /** Replaces the injected faults; omitted ones are disabled. */
  setFaults(faults: Partial<RouteFaults>): void {
    this.#faults = routeFaultsSchema.parse(faults);
    if (this.#faults.cut) {
      for (const pair of this.#connections) {
        pair.client.resetAndDestroy();
        pair.upstream.resetAndDestroy();
      }
    }
  }

  #destroyConnections(): void {
    for (const pair of this.#connections) {
      pair.client.destroy();
      pair.upstream.destroy();
    }
  }

  #handleConnection(client: Socket): void {
    if (this.#faults.cut) {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect(this.target);
    const pair = { client, upstream };
    this.#connections.add(pair);
    const close = (): void => {
      this.#connections.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    client.on('error', close).on('close', close);
    // While responses are dropped, the client must not see that the target closes the connection.
    const closeUnlessDropping = (): void => {
      if (!this.#faults.dropAnswers) {
        close();
      }
    };
    upstream.on('error', closeUnlessDropping).on('close', () => {
      void lastResponseChunk().then(() => {
        if (!this.#faults.dropAnswers) {
          client.destroySoon();
        }
      });
    });
    let responseBytes = 0;
    this.#pipe(client, upstream, 'up', () => true);
    const lastResponseChunk = this.#pipe(upstream, client, 'down', (chunk) => {
      responseBytes += chunk.length;
      const maxResponseBytes = this.#faults.cutAnswerAfterBytes;
      if (maxResponseBytes > 0 && responseBytes > maxResponseBytes) {
        client.write(
          chunk.subarray(0, Math.max(0, chunk.length - (responseBytes - maxResponseBytes))),
          () => {
            client.resetAndDestroy();
          },
        );
        return false;
      }
      return !this.#faults.dropAnswers;
    });
  }

  // Each chunk waits for the preceding one, so that delays don't reorder the chunks of a direction. Returns a
  // function whose result resolves when all chunks received so far have been forwarded.
  #pipe(
    from: Socket,
    to: Socket,
    direction: 'down' | 'up',
    shouldForward: (chunk: Buffer) => boolean,
  ): () => Promise<void> {
    let lastChunk = Promise.resolve();
    from.on('data', (chunk: Buffer) => {
      lastChunk = lastChunk.then(async () => {
        await this.#applyDelays();
        if (this.link?.bytesPerS !== undefined) {
          await this.#carryPieces(this.link, chunk, from, to, direction, shouldForward);
        } else {
          forward(chunk, to, shouldForward);
        }
      });
    });
    from.on('end', () => {
      void lastChunk.then(() => {
        if (!this.#faults.dropAnswers) {
          to.end();
        }
      });
    });
    return () => lastChunk;
  }

  // The sender is paused meanwhile, so that a connection that its receiver closes leaves little to carry.
  async #carryPieces(
    link: NarrowLink,
    chunk: Buffer,
    from: Socket,
    to: Socket,
    direction: 'down' | 'up',
    shouldForward: (chunk: Buffer) => boolean,
  ): Promise<void> {
    from.pause();
    for (let start = 0; start < chunk.length && !to.destroyed; start += LINK_PIECE_BYTES) {
      const piece = chunk.subarray(start, start + LINK_PIECE_BYTES);
      await link.carry(piece.length, direction);
      await this.#applyDelays();
      forward(piece, to, shouldForward);
    }
    from.resume();
  }

  async #applyDelays(): Promise<void> {
    if (this.#faults.delayMs > 0) {
      await sleep(this.#faults.delayMs);
    }
    while (this.#faults.freeze) {
      await sleep(FREEZE_POLL_INTERVAL_MS);
    }
  }
}

function forward(chunk: Buffer, to: Socket, shouldForward: (chunk: Buffer) => boolean): void {
  if (shouldForward(chunk) && !to.destroyed) {
    to.write(chunk);
  }
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
