/**
 * Link to an executor: a TCP proxy on a loopback address. While it is cut with resets, new connections are refused, and
 * a connection that was open is reset when something is sent on it; the executor runs on.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';

export class Link {
  #isCut = false;
  #server;
  #sockets = new Set();

  constructor(port, targetPort) {
    this.port = port;
    this.targetPort = targetPort;
  }

  async open() {
    this.#isCut = false;
    this.#server = createServer((socket) => {
      this.#forward(socket);
    });
    this.#server.listen(this.port, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  /** Cuts the link, with resets. */
  cut() {
    this.#isCut = true;
    this.#server.close();
  }

  /** Closes the link for good. */
  close() {
    this.#server?.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #forward(socket) {
    const target = connect(this.targetPort, '127.0.0.1');
    const close = () => {
      socket.destroy();
      target.destroy();
      this.#sockets.delete(socket);
    };
    this.#sockets.add(socket);
    socket.on('data', (chunk) => {
      if (this.#isCut) {
        socket.resetAndDestroy();
      } else {
        target.write(chunk);
      }
    });
    target.on('data', (chunk) => {
      if (this.#isCut) {
        socket.resetAndDestroy();
      } else {
        socket.write(chunk);
      }
    });
    for (const end of [socket, target]) {
      end.on('error', close);
      end.on('close', close);
    }
  }
}
