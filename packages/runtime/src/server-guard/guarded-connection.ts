import type { Socket } from 'node:net';
import type { Exchange } from './exchange';
import type { ConnectionPhase, ConnectionUse } from './victim-choice';
import { CONNECTION_PHASE } from './victim-choice';

/** Open connection of a client, with its requests that have no answer, oldest first. */
export class GuardedConnection implements ConnectionUse {
  readonly exchanges: Exchange[] = [];
  heldBytes = 0;
  /** Whether nothing further is read from the connection. */
  isRefused = false;
  /** Time at which the connection was opened or last became idle, in ms. */
  idleSince: number;
  #hasServed = false;
  readonly peer: string;

  constructor(
    readonly socket: Socket,
    now: number,
  ) {
    this.idleSince = now;
    this.peer = socket.remoteAddress ?? '';
  }

  /** Whether a request of the connection has been answered. */
  get hasServed(): boolean {
    return this.#hasServed;
  }

  /** Phase for the choice of a connection to refuse or to close. */
  get phase(): ConnectionPhase {
    const [head] = this.exchanges;
    if (head === undefined) {
      return this.#hasServed ? CONNECTION_PHASE.idle : CONNECTION_PHASE.silent;
    }
    if (this.isRefused || head.res.writableEnded) {
      return CONNECTION_PHASE.unread;
    }
    return head.isDispatched ? CONNECTION_PHASE.served : CONNECTION_PHASE.body;
  }

  /** Time at which the phase began, in ms. */
  get since(): number {
    return this.exchanges[0]?.startedAt ?? this.idleSince;
  }

  /** Removes an answered request. */
  remove(exchange: Exchange, now: number): void {
    const index = this.exchanges.indexOf(exchange);
    if (index !== -1) {
      this.exchanges.splice(index, 1);
    }
    this.#hasServed = true;
    this.idleSince = now;
  }
}
