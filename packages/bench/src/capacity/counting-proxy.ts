import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** TCP proxy on loopback that counts the bytes it forwards in both directions. */
export class CountingProxy {
  byteCount = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(private readonly targetPort: number) {
    this.#server = createServer((client) => {
      this.#pipeBothWays(client, connect(this.targetPort, '127.0.0.1'));
    });
  }

  /** Listens on a free port and returns its number. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        const address = this.#server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : 0);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #pipeBothWays(client: Socket, upstream: Socket): void {
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      this.#sockets.add(from);
      from.on('data', (chunk: Buffer) => {
        this.byteCount += chunk.length;
        to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => {
        this.#sockets.delete(from);
        to.destroy();
      });
    }
  }
}
