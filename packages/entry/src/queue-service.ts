import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import {
  DEFAULT_QUEUE_SETTINGS,
  PoolQueue,
  poolSettings,
  reservedShortSlots,
  RunTimeClassifier,
} from '@sequoiaquay/core';
import type { GrantsInUse } from './grants-in-use';
import type { InFlight } from './in-flight';
import type { OwnerView } from './owner-view';
import type {
  AcquireAnswer,
  AcquireMessage,
  ReleaseMessage,
  RenewMessage,
  ReportMessage,
} from './queue-messages';
import type { TargetHealth } from './target-health';
import { OwnedQueue } from './owned-queue';

/** Components that QueueService uses. */
export interface QueueServiceDependencies {
  entry: string;
  health: TargetHealth;
  inFlight: InFlight;
  inUse: GrantsInUse;
  owners: OwnerView;
  replica: FleetReplica;
  timers: TimerService;
}

/**
 * Interval of expiry and reclassification, in ms. Must not exceed half of the class threshold, to limit the
 * time for which a run keeps a wrong class.
 */
const TICK_INTERVAL_MS = 100;

/** Time for which a new owner waits for reports before it grants slots, in ms. */
const REPORT_WAIT_MS = 250;

/** Manages the pool queues that this entry owns. Times in ms. */
export class QueueService {
  readonly #classifiers = new Map<string, RunTimeClassifier>();
  readonly #queues = new Map<string, OwnedQueue>();
  #isStopped = false;

  constructor(private readonly deps: QueueServiceDependencies) {}

  /** Runs the queues until the signal aborts; `stopping` makes the waiting requests end with `not-owner`. */
  start(signal: AbortSignal, stopping: AbortSignal): void {
    this.deps.timers.every(
      TICK_INTERVAL_MS,
      () => {
        this.#tick();
      },
      signal,
    );
    this.deps.replica.subscribe(() => {
      this.#tick();
    }, signal);
    stopping.addEventListener(
      'abort',
      () => {
        this.#stop();
      },
      { once: true },
    );
  }

  /** Returns a granted slot, a refusal, or `waiting` if no slot becomes free within the poll. */
  async acquire(req: AcquireMessage, signal: AbortSignal): Promise<AcquireAnswer> {
    // A drain waits only for entries that have joined: grants of any other entry would not keep the VM.
    if (this.#isStopped || !this.deps.owners.hasJoined) {
      return { kind: 'not-owner' };
    }
    const queue = this.#getQueue(req.pool);
    const polled = queue.poll(req, this.#now());
    this.#dispatch(req.pool, queue);
    const answer = polled ?? (await this.#wait(queue, req, signal));
    if (signal.aborted) {
      this.release({ id: req.id, pool: req.pool }, 'local');
      return { kind: 'waiting' };
    }
    if (answer !== undefined) {
      queue.removeAnswered(req.id);
    }
    return answer ?? { kind: 'waiting' };
  }

  /** Cancels a request or releases a grant; results of other entries are recorded in the circuit breakers. */
  release(msg: ReleaseMessage, from: 'local' | 'remote'): void {
    const queue = this.#queues.get(msg.pool);
    if (queue === undefined) {
      return;
    }
    const grant = queue.release(msg, this.#now());
    if (grant !== undefined && from === 'remote' && msg.ok !== undefined) {
      this.deps.health.recordRemote(grant.vm, msg.ok);
    }
    this.#dispatch(msg.pool, queue);
  }

  /** Number of requests waiting in the queues of this entry, by pool. */
  queuedByPool(): Map<string, number> {
    return new Map([...this.#queues].map(([pool, queue]) => [pool, queue.queuedCount]));
  }

  /** Renews the leases of grants; the member must report the grants returned as unknown. */
  renew(msg: RenewMessage): { leaseMs: number; unknown: string[] } {
    const unknown = this.#getQueue(msg.pool).renew(msg.ids, this.#now());
    return { leaseMs: DEFAULT_QUEUE_SETTINGS.leaseMs, unknown };
  }

  /** Records a run time under another owner's grant, so that this entry can classify jobs once it is the owner. */
  recordRunTime(pool: string, job: string, runMs: number): void {
    this.#getClassifier(pool).record(job, runMs);
  }

  /** Records the grants in use that a member reports. */
  report(msg: ReportMessage): void {
    const queue = this.#getQueue(msg.pool);
    queue.report(msg, this.#now());
    this.#dispatch(msg.pool, queue);
  }

  async #wait(
    queue: OwnedQueue,
    req: AcquireMessage,
    signal: AbortSignal,
  ): Promise<AcquireAnswer | undefined> {
    const waitEnd = new AbortController();
    this.deps.timers.after(
      Math.min(req.waitMs, req.leftMs),
      () => {
        waitEnd.abort();
      },
      waitEnd.signal,
    );
    const answer = await queue.wait(req.id, AbortSignal.any([signal, waitEnd.signal]));
    waitEnd.abort();
    return answer;
  }

  #getQueue(pool: string): OwnedQueue {
    const existing = this.#queues.get(pool);
    if (existing !== undefined) {
      return existing;
    }
    const queue = new PoolQueue({
      classifier: this.#getClassifier(pool),
      seed: 0,
      settings: DEFAULT_QUEUE_SETTINGS,
      teamOf: (team) => {
        const branch = this.deps.replica.state.branches.get(team)?.value;
        return { quota: branch?.quota, weight: branch?.weight ?? 1 };
      },
    });
    const created = new OwnedQueue(queue, this.deps.inFlight, {
      holdUntil: this.#now() + REPORT_WAIT_MS,
      leaseMs: DEFAULT_QUEUE_SETTINGS.leaseMs,
    });
    this.#queues.set(pool, created);
    this.#updateTargets(pool, created);
    const grants = this.deps.inUse.toReport(pool);
    created.report({ grants, member: this.deps.entry, pool }, this.#now());
    return created;
  }

  #getClassifier(pool: string): RunTimeClassifier {
    const classifier = this.#classifiers.get(pool) ?? new RunTimeClassifier();
    this.#classifiers.set(pool, classifier);
    return classifier;
  }

  #dispatch(pool: string, queue: OwnedQueue): void {
    this.#updateTargets(pool, queue);
    queue.dispatch(this.#now(), () => this.#otherEntries());
  }

  #updateTargets(pool: string, queue: OwnedQueue): void {
    const targets = this.deps.health.usableTargets(pool);
    const slots = targets.reduce((sum, target) => sum + target.slots, 0);
    queue.setTargets(targets, reservedShortSlots(poolSettings(this.deps.replica.state, pool), slots));
  }

  #tick(): void {
    for (const [pool, queue] of this.#queues) {
      this.#updateTargets(pool, queue);
      queue.expireAndDispatch(this.#now(), () => this.#otherEntries());
    }
  }

  #otherEntries(): string[] {
    return this.deps.owners
      .candidates()
      .map((entry) => entry.name)
      .filter((name) => name !== this.deps.entry);
  }

  #stop(): void {
    this.#isStopped = true;
    for (const queue of this.#queues.values()) {
      queue.close(this.#now());
    }
  }

  #now(): number {
    return this.deps.timers.mono();
  }
}
