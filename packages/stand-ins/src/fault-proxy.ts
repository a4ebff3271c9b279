import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import * as z from 'zod';

/** Faults of one route of the proxy. Times in ms, sizes in bytes. */
export const routeFaultsSchema = z.strictObject({
  /** Existing connections are reset and new ones refused. */
  cut: z.boolean().default(false),
  /** Connection is reset after this many bytes of the answer; 0 switches it off. */
  cutAnswerAfterBytes: z.int().min(0).default(0),
  /** Delay of each chunk, in both directions. */
  delayMs: z.number().min(0).default(0),
  /** Requests pass, answers are swallowed. */
  dropAnswers: z.boolean().default(false),
  /** Connections stay open and nothing passes in either direction. */
  freeze: z.boolean().default(false),
});

/** Faults of one route. */
export type RouteFaults = z.infer<typeof routeFaultsSchema>;

const FREEZE_CHECK_MS = 10;

/** TCP route from a listening port to a target address, with faults that can change at any time. */
export class FaultRoute {
  #faults: RouteFaults = routeFaultsSchema.parse({});
  readonly #pairs = new Set<{ client: Socket; upstream: Socket }>();
  #port = 0;
  readonly #server: Server;

  constructor(private readonly target: { host: string; port: number }) {
    this.#server = createServer((client) => {
      this.#accept(client);
    });
  }

  /** Listens on a loopback port. */
  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Listens on a free loopback port and gives its number. */
  async listenAnywhere(): Promise<number> {
    await this.listen(0);
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and ends all connections. */
  close(): void {
    this.#server.close();
    this.#faults = routeFaultsSchema.parse({});
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.upstream.destroy();
    }
  }

  /** Stops listening, so that connections are refused, and ends the open ones. */
  refuse(): Promise<void> {
    return new Promise((resolve) => {
      const address = this.#server.address();
      this.#port = typeof address === 'object' && address !== null ? address.port : 0;
      this.#server.close(() => {
        resolve();
      });
      this.#endConnections();
    });
  }

  /** Listens again after `refuse`. */
  async accept(): Promise<void> {
    await this.listen(this.#port);
  }

  /** Sets the faults from now on; those left out are switched off. */
  setFaults(faults: Partial<RouteFaults>): void {
    this.#faults = routeFaultsSchema.parse(faults);
    if (this.#faults.cut) {
      for (const pair of this.#pairs) {
        pair.client.resetAndDestroy();
        pair.upstream.resetAndDestroy();
      }
    }
  }

  #endConnections(): void {
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.upstream.destroy();
    }
  }

  #accept(client: Socket): void {
    if (this.#faults.cut) {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect(this.target);
    const pair = { client, upstream };
    this.#pairs.add(pair);
    const close = (): void => {
      this.#pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    client.on('error', close).on('close', close);
    // With answers dropped, the caller must not see the target's end of the connection either.
    const closeUnlessDropping = (): void => {
      if (!this.#faults.dropAnswers) {
        close();
      }
    };
    upstream.on('error', closeUnlessDropping).on('close', closeUnlessDropping);
    let answered = 0;
    this.#pipe(client, upstream, () => true);
    this.#pipe(upstream, client, (chunk) => {
      answered += chunk.length;
      const limit = this.#faults.cutAnswerAfterBytes;
      if (limit > 0 && answered > limit) {
        client.write(chunk.subarray(0, Math.max(0, chunk.length - (answered - limit))), () => {
          client.resetAndDestroy();
        });
        return false;
      }
      return !this.#faults.dropAnswers;
    });
  }

  // Chunks of one direction keep their order: each waits for the one before it.
  #pipe(from: Socket, to: Socket, passes: (chunk: Buffer) => boolean): void {
    let last = Promise.resolve();
    from.on('data', (chunk: Buffer) => {
      last = last.then(async () => {
        await this.#hold();
        if (passes(chunk) && !to.destroyed) {
          to.write(chunk);
        }
      });
    });
    from.on('end', () => {
      void last.then(() => {
        if (!this.#faults.dropAnswers) {
          to.end();
        }
      });
    });
  }

  async #hold(): Promise<void> {
    if (this.#faults.delayMs > 0) {
      await pause(this.#faults.delayMs);
    }
    while (this.#faults.freeze) {
      await pause(FREEZE_CHECK_MS);
    }
  }
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
