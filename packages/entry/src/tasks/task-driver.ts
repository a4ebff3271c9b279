import type { Task, TaskApplyResult, TaskRecord } from '@sequoiaquay/core';
import { ownerRank, TaskScheduler } from '@sequoiaquay/core';
import type { LeavingVms } from '../leaving-vms';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { AttemptDependencies } from './attempt-driver';
import type { TaskInFlightTracker } from './task-in-flight-tracker';
import { AttemptDriver } from './attempt-driver';
import { buildSchedulerInput } from './task-planning';

/** Dependencies of the task driver. */
export interface TaskDriverDependencies extends AttemptDependencies {
  inFlightTracker: TaskInFlightTracker;
  leaving: LeavingVms;
  members: LiveMembers;
  work: WorkReplica;
}

/** Delay between a record and the round that it triggers, in ms, so that one round handles several records. */
const ROUND_DELAY_MS = 20;

/** Pause after a round as a multiple of its duration, so that planning uses at most a fifth of a core. */
const PAUSE_FACTOR = 4;

/**
 * Drives the tasks that this entry owns: proposes the planned leases and drives their attempts. When a task
 * makes no progress, the other entries take over one after the other in the task's rendezvous order.
 */
export class TaskDriver {
  readonly #drivers = new Map<string, AttemptDriver>();
  readonly counters = { cancelled: 0, ended: 0, leases: 0, takeovers: 0 };
  /** Monotonic time of the last record about each live task, in ms; without one, of its first check. */
  readonly #lastRecordAt = new Map<string, number>();
  readonly #pendingLeaseRecords = new Set<string>();
  readonly #plannedSince = new Map<string, number>();
  readonly #scheduler = new TaskScheduler();
  #pausedUntil = 0;
  #isRoundScheduled = false;

  constructor(private readonly deps: TaskDriverDependencies) {}

  /** Starts the rounds, until `deps.signal` aborts. */
  start(): void {
    const { settings, signal, timers, work } = this.deps;
    work.onTask((record, result) => {
      this.#handleRecord(record, result);
    }, signal);
    timers.every(
      settings.tickMs,
      () => {
        if (timers.mono() >= this.#pausedUntil) {
          this.runRound();
        }
      },
      signal,
    );
  }

  /** Proposes the planned leases and advances each attempt that this entry drives. */
  runRound(): void {
    if (!this.deps.work.caughtUp || !this.deps.replica.caughtUp || this.deps.signal.aborted) {
      return;
    }
    const startedAt = this.deps.timers.mono();
    this.deps.inFlightTracker.updateAll();
    const members = this.deps.members.entries().map((member) => member.name);
    const liveTasks = this.deps.work.tasks.liveTasks();
    this.#removeEnded(liveTasks);
    const evictedIds = this.#proposeLeases(members);
    for (const task of liveTasks) {
      if (task.state === 'running' && this.#shouldDrive(task, members)) {
        this.#getDriver(task).step(evictedIds.has(task.id) || this.#isOnLeavingWorker(task));
      }
    }
    const now = this.deps.timers.mono();
    this.#pausedUntil = now + PAUSE_FACTOR * (now - startedAt);
  }

  // Returns the ids of the tasks to evict from their workers.
  #proposeLeases(members: readonly string[]): ReadonlySet<string> {
    const { leaving, replica, settings, timers, work } = this.deps;
    const plan = this.#scheduler.plan(
      buildSchedulerInput(replica.state, work.tasks, leaving, settings, timers.now()),
    );
    const planned = new Set(plan.placements.map((placement) => placement.task.id));
    for (const id of this.#plannedSince.keys()) {
      if (!planned.has(id)) {
        this.#plannedSince.delete(id);
      }
    }
    for (const { demand, task, worker } of plan.placements) {
      if (this.#canPropose(task, members)) {
        this.#proposeLease(task, worker, demand);
      }
    }
    return new Set(plan.evictions.map((task) => task.id));
  }

  #canPropose(task: Task, members: readonly string[]): boolean {
    const since = this.#plannedSince.get(task.id) ?? this.deps.timers.mono();
    this.#plannedSince.set(task.id, since);
    const rank = ownerRank(task.id, this.deps.entry, members);
    const waitedMs = this.deps.timers.mono() - since;
    return (
      rank >= 0 &&
      waitedMs >= rank * this.deps.settings.takeoverMs &&
      !this.deps.inFlightTracker.isProposed(task.id)
    );
  }

  #proposeLease(task: Task, worker: string, demand: Task['demand']): void {
    const { inFlightTracker, log, settings, signal, timers } = this.deps;
    const appendTimeoutMs = Math.ceil(settings.leaseMs / 3);
    inFlightTracker.setProposed(task.id, worker);
    this.counters.leases += 1;
    const handle = log.append(
      {
        attempt: task.attempt + 1,
        demand,
        entry: this.deps.entry,
        kind: 'task-lease',
        skewMs: settings.skewMs,
        task: task.id,
        until: timers.now() + settings.leaseMs,
        worker,
      },
      appendTimeoutMs,
    );
    this.#pendingLeaseRecords.add(handle.id);
    timers.after(
      appendTimeoutMs,
      () => {
        if (this.#pendingLeaseRecords.delete(handle.id)) {
          inFlightTracker.clearProposed(task.id);
        }
      },
      signal,
    );
  }

  #handleRecord(record: TaskRecord, result: TaskApplyResult): void {
    const id = record.kind === 'task' ? record.id : record.task;
    const isOwn = this.#pendingLeaseRecords.delete(record.id);
    this.#lastRecordAt.set(id, this.deps.timers.mono());
    if (isOwn) {
      this.deps.inFlightTracker.clearProposed(id);
    }
    this.deps.inFlightTracker.update(id);
    if (result.isErr()) {
      return;
    }
    if (record.kind === 'task-lease' && isOwn) {
      const driver = new AttemptDriver(this.deps, result.value, true);
      this.#drivers.set(attemptKey(result.value), driver);
      driver.step(false);
    }
    if (record.kind === 'task-cancel') {
      this.#stopCancelled(result.value);
    }
    this.#scheduleRound();
  }

  // The entry that drives a cancelled task stops its attempt at once; without such an entry the lease lapses.
  #stopCancelled(task: Task): void {
    const driver = this.#drivers.get(attemptKey(task));
    if (driver !== undefined) {
      this.counters.cancelled += 1;
      this.#drivers.delete(attemptKey(task));
      void driver.stop();
    }
  }

  #scheduleRound(): void {
    if (this.#isRoundScheduled) {
      return;
    }
    this.#isRoundScheduled = true;
    this.deps.timers.after(
      Math.max(ROUND_DELAY_MS, this.#pausedUntil - this.deps.timers.mono()),
      () => {
        this.#isRoundScheduled = false;
        this.runRound();
      },
      this.deps.signal,
    );
  }

  // The lease holder drives the attempt. Another entry takes over when there is no record about the task for
  // long enough: two renewal intervals and `takeoverMs` while the holder is a member, and `takeoverMs` more for
  // each entry before it in the rendezvous order.
  #shouldDrive(task: Task, members: readonly string[]): boolean {
    const { entry, settings, timers } = this.deps;
    const holder = task.lease?.entry ?? '';
    if (holder === entry) {
      return true;
    }
    const others = members.filter((member) => member !== holder);
    const rank = ownerRank(task.id, entry, others);
    const lastRecordAt = this.#lastRecordAt.get(task.id) ?? timers.mono();
    this.#lastRecordAt.set(task.id, lastRecordAt);
    const holderWaitMs = members.includes(holder) ? 2 * settings.renewMs + settings.takeoverMs : 0;
    const isDue = rank >= 0 && timers.mono() - lastRecordAt >= holderWaitMs + rank * settings.takeoverMs;
    if (isDue && !this.#drivers.has(attemptKey(task))) {
      this.counters.takeovers += 1;
    }
    return isDue;
  }

  #getDriver(task: Task): AttemptDriver {
    const existing = this.#drivers.get(attemptKey(task));
    if (existing !== undefined) {
      return existing;
    }
    const created = new AttemptDriver(this.deps, task, false);
    this.#drivers.set(attemptKey(task), created);
    return created;
  }

  #isOnLeavingWorker(task: Task): boolean {
    const { leaving, replica } = this.deps;
    const worker = task.lease?.worker ?? '';
    return replica.state.vms.get(worker)?.state === 'draining' || leaving.has(worker);
  }

  #removeEnded(live: readonly Task[]): void {
    const running = new Set(live.filter((task) => task.state === 'running').map(attemptKey));
    for (const key of this.#drivers.keys()) {
      if (!running.has(key)) {
        this.#drivers.delete(key);
        this.counters.ended += 1;
      }
    }
    const ids = new Set(live.map((task) => task.id));
    for (const id of this.#lastRecordAt.keys()) {
      if (!ids.has(id)) {
        this.#lastRecordAt.delete(id);
      }
    }
  }
}

function attemptKey(task: Task): string {
  return `${task.id}/${task.attempt}`;
}
