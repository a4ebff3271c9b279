import type { Logger } from '../logger';
import type { Metrics, MetricSample } from '../metrics';
import type { TimerService } from '../timer-service';
import type { GuardRefusal } from './guard-limits';

/** Shortest time between two lines about the same reason, in ms. */
const LINE_INTERVAL_MS = 5000;

/** What a guarded server uses when a line is written. */
export interface GuardUse {
  connections: number;
  heldBytes: number;
  /** Peer with the most connections, and what it uses. */
  largestPeer: string;
  largestPeerBytes: number;
  largestPeerConnections: number;
}

interface ReasonCount {
  lineAt: number;
  peer: string;
  total: number;
  unwritten: number;
}

/** Counters and log lines of a guarded server. */
export class GuardStats {
  readonly #counts = new Map<string, ReasonCount>();

  /** `server` is the name of the server in metrics and lines. */
  constructor(
    readonly server: string,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Counts a refusal. */
  count({ reason }: GuardRefusal, peer: string): void {
    let count = this.#counts.get(reason);
    if (count === undefined) {
      count = { lineAt: -Infinity, peer, total: 0, unwritten: 0 };
      this.#counts.set(reason, count);
    }
    count.peer = peer;
    count.total += 1;
    count.unwritten += 1;
  }

  /** Writes a line for each reason with new refusals; at most one in five seconds for each reason. */
  writeLines(readUse: () => GuardUse): void {
    const now = this.timers.mono();
    for (const [reason, count] of this.#counts) {
      if (count.unwritten > 0 && now - count.lineAt >= LINE_INTERVAL_MS) {
        const { peer, unwritten } = count;
        this.log.warn(
          { count: unwritten, lastPeer: peer, reason, server: this.server, ...readUse() },
          'clients refused',
        );
        count.lineAt = now;
        count.unwritten = 0;
      }
    }
  }

  /** Refusals since the start by reason. */
  samples(): MetricSample[] {
    return [...this.#counts].map(([reason, { total }]) => ({
      labels: { reason, server: this.server },
      value: total,
    }));
  }
}

/** Server whose use the metrics show. */
export interface GuardedUse {
  readonly connectionCount: number;
  readonly heldBytes: number;
  readonly stats: GuardStats;
}

/** Registers the metrics of guarded servers. */
export function publishGuards(metrics: Metrics, guards: readonly GuardedUse[]): void {
  const sample = (read: (guard: GuardedUse) => number) => (): MetricSample[] =>
    guards.map((guard) => ({ labels: { server: guard.stats.server }, value: read(guard) }));
  metrics.registerCounter(
    {
      help: 'Requests refused and connections closed to protect the process, by reason',
      labels: ['server', 'reason'],
      name: 'sequoiaquay_clients_refused_total',
    },
    () => guards.flatMap((guard) => guard.stats.samples()),
  );
  metrics.registerGauge(
    {
      help: 'Open connections of clients',
      labels: ['server'],
      name: 'sequoiaquay_client_connections',
    },
    sample((guard) => guard.connectionCount),
  );
  metrics.registerGauge(
    {
      help: 'Bytes held for requests without an answer',
      labels: ['server'],
      name: 'sequoiaquay_client_held_bytes',
    },
    sample((guard) => guard.heldBytes),
  );
}
