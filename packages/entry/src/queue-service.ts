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

/** Parts of an entry that its pool queues use. */
export interface QueueServiceParts {
  entry: string;
  health: TargetHealth;
  inFlight: InFlight;
  inUse: GrantsInUse;
  owners: OwnerView;
  replica: FleetReplica;
  timers: TimerService;
}

/** Period of expiry and reclassification, in ms; half of the class threshold bounds a wrong class. */
const TICK_MS = 100;

/** Time for which a new owner waits for reports before it grants, in ms. */
const REBUILD_MS = 250;

/** Pool queues that this entry owns. Times in ms. */
export class QueueService {
  readonly #learners = new Map<string, RunTimeClassifier>();
  readonly #queues = new Map<string, OwnedQueue>();
  #stopped = false;

  constructor(private readonly parts: QueueServiceParts) {}

  /** Runs the queues until the signal aborts; `stopping` sends the waiting members away. */
  start(signal: AbortSignal, stopping: AbortSignal): void {
    this.parts.timers.every(
      TICK_MS,
      () => {
        this.#tick();
      },
      signal,
    );
    this.parts.replica.subscribe(() => {
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

  /** Gives a slot, a refusal, or `waiting` when none is free within the poll. */
  async acquire(req: AcquireMessage, signal: AbortSignal): Promise<AcquireAnswer> {
    // Only the vote of an entry that has joined keeps a VM from being released under its grants.
    if (this.#stopped || !this.parts.owners.joined) {
      return { kind: 'not-owner' };
    }
    const queue = this.#queueOf(req.pool);
    const known = queue.poll(req, this.#now());
    this.#pump(req.pool, queue);
    const answer = known ?? (await this.#wait(queue, req, signal));
    if (signal.aborted) {
      this.release({ id: req.id, pool: req.pool }, 'local');
      return { kind: 'waiting' };
    }
    if (answer !== undefined) {
      queue.answered(req.id);
    }
    return answer ?? { kind: 'waiting' };
  }

  /** Frees a place or a grant; a result from another entry counts for the circuit breaker here. */
  release(msg: ReleaseMessage, from: 'local' | 'remote'): void {
    const queue = this.#queues.get(msg.pool);
    if (queue === undefined) {
      return;
    }
    const grant = queue.release(msg, this.#now());
    if (grant !== undefined && from === 'remote' && msg.ok !== undefined) {
      this.parts.health.recordRemote(grant.vm, msg.ok);
    }
    this.#pump(msg.pool, queue);
  }

  /** Requests that wait for a slot in the queues of this owner, by pool. */
  queued(): Map<string, number> {
    return new Map([...this.#queues].map(([pool, queue]) => [pool, queue.queued]));
  }

  /** Extends grants; the unknown ones are to be reported. */
  renew(msg: RenewMessage): { leaseMs: number; unknown: string[] } {
    const unknown = this.#queueOf(msg.pool).renew(msg.ids, this.#now());
    return { leaseMs: DEFAULT_QUEUE_SETTINGS.leaseMs, unknown };
  }

  /** Learns from a run of this entry under another owner's grant, so that this entry is ready to own the queue. */
  learn(pool: string, job: string, runMs: number): void {
    this.#learnerOf(pool).record(job, runMs);
  }

  /** Takes over grants in use that this owner doesn't know. */
  report(msg: ReportMessage): void {
    const queue = this.#queueOf(msg.pool);
    queue.report(msg, this.#now());
    this.#pump(msg.pool, queue);
  }

  async #wait(
    queue: OwnedQueue,
    req: AcquireMessage,
    signal: AbortSignal,
  ): Promise<AcquireAnswer | undefined> {
    const ended = new AbortController();
    this.parts.timers.after(
      Math.min(req.waitMs, req.leftMs),
      () => {
        ended.abort();
      },
      ended.signal,
    );
    const answer = await queue.wait(req.id, AbortSignal.any([signal, ended.signal]));
    ended.abort();
    return answer;
  }

  #queueOf(pool: string): OwnedQueue {
    const known = this.#queues.get(pool);
    if (known !== undefined) {
      return known;
    }
    const queue = new PoolQueue({
      classifier: this.#learnerOf(pool),
      seed: 0,
      settings: DEFAULT_QUEUE_SETTINGS,
      teamOf: (team) => {
        const branch = this.parts.replica.state.branches.get(team)?.value;
        return { quota: branch?.quota, weight: branch?.weight ?? 1 };
      },
    });
    const created = new OwnedQueue(queue, this.parts.inFlight, {
      holdUntil: this.#now() + REBUILD_MS,
      leaseMs: DEFAULT_QUEUE_SETTINGS.leaseMs,
    });
    this.#queues.set(pool, created);
    this.#refresh(pool, created);
    const grants = this.parts.inUse.reportOf(pool);
    created.report({ grants, member: this.parts.entry, pool }, this.#now());
    return created;
  }

  #learnerOf(pool: string): RunTimeClassifier {
    const known = this.#learners.get(pool) ?? new RunTimeClassifier();
    this.#learners.set(pool, known);
    return known;
  }

  #pump(pool: string, queue: OwnedQueue): void {
    this.#refresh(pool, queue);
    queue.pump(this.#now(), () => this.#others());
  }

  #refresh(pool: string, queue: OwnedQueue): void {
    const targets = this.parts.health.usable(pool);
    const slots = targets.reduce((sum, target) => sum + target.slots, 0);
    queue.refresh(targets, reservedShortSlots(poolSettings(this.parts.replica.state, pool), slots));
  }

  #tick(): void {
    for (const [pool, queue] of this.#queues) {
      this.#refresh(pool, queue);
      queue.tick(this.#now(), () => this.#others());
    }
  }

  #others(): string[] {
    return this.parts.owners
      .candidates()
      .map((entry) => entry.name)
      .filter((name) => name !== this.parts.entry);
  }

  #stop(): void {
    this.#stopped = true;
    for (const queue of this.#queues.values()) {
      queue.close(this.#now());
    }
  }

  #now(): number {
    return this.parts.timers.mono();
  }
}
