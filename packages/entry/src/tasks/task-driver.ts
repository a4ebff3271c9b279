import type { Task, TaskApplyResult, TaskRecord } from '@sequoiaquay/core';
import { ownerRank, TaskScheduler } from '@sequoiaquay/core';
import type { LeavingVms } from '../leaving-vms';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { AttemptParts } from './attempt-driver';
import type { TaskPlaces } from './task-places';
import { AttemptDriver } from './attempt-driver';
import { schedulerInput } from './task-planning';

/** Parts of an entry that drive tasks. */
export interface TaskDriverParts extends AttemptParts {
  leaving: LeavingVms;
  members: LiveMembers;
  places: TaskPlaces;
  work: WorkReplica;
}

/** Time that records wait for others before a round that they call for, in ms. */
const SOON_MS = 20;

/** Pause after a round as a multiple of the time that it took, so that planning takes a fifth of a core at most. */
const PAUSE_FACTOR = 4;

/**
 * Drives the tasks that this entry owns: proposes their leases as planned and follows their attempts. The
 * other entries of a task's rendezvous order step in, one after the other, when they see that nothing happens.
 */
export class TaskDriver {
  readonly #drivers = new Map<string, AttemptDriver>();
  readonly counters = { cancelled: 0, ended: 0, leases: 0, takeovers: 0 };
  /** Monotonic time at which something was last heard of each task that has not ended, in ms. */
  readonly #heardAt = new Map<string, number>();
  readonly #ownLeases = new Set<string>();
  readonly #plannedSince = new Map<string, number>();
  readonly #scheduler = new TaskScheduler();
  #restUntil = 0;
  #soon = false;

  constructor(private readonly parts: TaskDriverParts) {}

  /** Works until the parts' signal aborts. */
  start(): void {
    const { settings, signal, timers, work } = this.parts;
    work.onTask((record, verdict) => {
      this.#onRecord(record, verdict);
    }, signal);
    timers.every(
      settings.tickMs,
      () => {
        if (timers.mono() >= this.#restUntil) {
          this.round();
        }
      },
      signal,
    );
  }

  /** Proposes what is planned and takes the next step of each attempt. */
  round(): void {
    if (!this.parts.work.caughtUp || !this.parts.replica.caughtUp || this.parts.signal.aborted) {
      return;
    }
    const startedAt = this.parts.timers.mono();
    this.parts.places.syncAll();
    const members = this.parts.members.entries().map((member) => member.name);
    const live = this.parts.work.tasks.liveTasks();
    this.#forgetEnded(live);
    const leaving = this.#propose(members);
    for (const task of live) {
      if (task.state === 'running' && this.#drives(task, members)) {
        this.#driverOf(task).step(leaving.has(task.id) || this.#isOnLeavingWorker(task));
      }
    }
    const now = this.parts.timers.mono();
    this.#restUntil = now + PAUSE_FACTOR * (now - startedAt);
  }

  #propose(members: readonly string[]): ReadonlySet<string> {
    const { leaving, replica, settings, timers, work } = this.parts;
    const plan = this.#scheduler.plan(
      schedulerInput(replica.state, work.tasks, leaving, settings, timers.now()),
    );
    const planned = new Set(plan.placements.map((placement) => placement.task.id));
    for (const id of this.#plannedSince.keys()) {
      if (!planned.has(id)) {
        this.#plannedSince.delete(id);
      }
    }
    for (const { demand, task, worker } of plan.placements) {
      if (this.#mayPropose(task, members)) {
        this.#lease(task, worker, demand);
      }
    }
    return new Set(plan.evictions.map((task) => task.id));
  }

  #mayPropose(task: Task, members: readonly string[]): boolean {
    const since = this.#plannedSince.get(task.id) ?? this.parts.timers.mono();
    this.#plannedSince.set(task.id, since);
    const rank = ownerRank(task.id, this.parts.entry, members);
    const waitedMs = this.parts.timers.mono() - since;
    return (
      rank >= 0 && waitedMs >= rank * this.parts.settings.takeoverMs && !this.parts.places.isProposed(task.id)
    );
  }

  #lease(task: Task, worker: string, demand: Task['demand']): void {
    const { log, places, settings, signal, timers } = this.parts;
    const offerMs = Math.ceil(settings.leaseMs / 3);
    places.propose(task.id, worker);
    this.counters.leases += 1;
    const sent = log.append(
      {
        attempt: task.attempt + 1,
        demand,
        entry: this.parts.entry,
        kind: 'task-lease',
        skewMs: settings.skewMs,
        task: task.id,
        until: timers.now() + settings.leaseMs,
        worker,
      },
      offerMs,
    );
    this.#ownLeases.add(sent.id);
    timers.after(
      offerMs,
      () => {
        if (this.#ownLeases.delete(sent.id)) {
          places.settle(task.id);
        }
      },
      signal,
    );
  }

  #onRecord(record: TaskRecord, verdict: TaskApplyResult): void {
    const id = record.kind === 'task' ? record.id : record.task;
    const isOwn = this.#ownLeases.delete(record.id);
    this.#heardAt.set(id, this.parts.timers.mono());
    if (isOwn) {
      this.parts.places.settle(id);
    }
    this.parts.places.sync(id);
    if (verdict.isErr()) {
      return;
    }
    if (record.kind === 'task-lease' && isOwn) {
      const driver = new AttemptDriver(this.parts, verdict.value, true);
      this.#drivers.set(keyOf(verdict.value), driver);
      driver.step(false);
    }
    if (record.kind === 'task-cancel') {
      this.#stopCancelled(verdict.value);
    }
    this.#roundSoon();
  }

  // The entry that drives a cancelled task stops it at once; without one the worker's lease lapses.
  #stopCancelled(task: Task): void {
    const driver = this.#drivers.get(keyOf(task));
    if (driver !== undefined) {
      this.counters.cancelled += 1;
      this.#drivers.delete(keyOf(task));
      void driver.stop();
    }
  }

  #roundSoon(): void {
    if (this.#soon) {
      return;
    }
    this.#soon = true;
    this.parts.timers.after(
      Math.max(SOON_MS, this.#restUntil - this.parts.timers.mono()),
      () => {
        this.#soon = false;
        this.round();
      },
      this.parts.signal,
    );
  }

  // The holder of the lease drives the attempt. Others do when nothing was heard of it for long enough.
  #drives(task: Task, members: readonly string[]): boolean {
    const { entry, settings, timers } = this.parts;
    const holder = task.lease?.entry ?? '';
    if (holder === entry) {
      return true;
    }
    const others = members.filter((member) => member !== holder);
    const rank = ownerRank(task.id, entry, others);
    const heardAt = this.#heardAt.get(task.id) ?? timers.mono();
    this.#heardAt.set(task.id, heardAt);
    const holderWaitMs = members.includes(holder) ? 2 * settings.renewMs + settings.takeoverMs : 0;
    const due = rank >= 0 && timers.mono() - heardAt >= holderWaitMs + rank * settings.takeoverMs;
    if (due && !this.#drivers.has(keyOf(task))) {
      this.counters.takeovers += 1;
    }
    return due;
  }

  #driverOf(task: Task): AttemptDriver {
    const known = this.#drivers.get(keyOf(task));
    if (known !== undefined) {
      return known;
    }
    const created = new AttemptDriver(this.parts, task, false);
    this.#drivers.set(keyOf(task), created);
    return created;
  }

  #isOnLeavingWorker(task: Task): boolean {
    const { leaving, replica } = this.parts;
    const worker = task.lease?.worker ?? '';
    return replica.state.vms.get(worker)?.state === 'draining' || leaving.has(worker);
  }

  #forgetEnded(live: readonly Task[]): void {
    const running = new Set(live.filter((task) => task.state === 'running').map(keyOf));
    for (const key of this.#drivers.keys()) {
      if (!running.has(key)) {
        this.#drivers.delete(key);
        this.counters.ended += 1;
      }
    }
    const ids = new Set(live.map((task) => task.id));
    for (const id of this.#heardAt.keys()) {
      if (!ids.has(id)) {
        this.#heardAt.delete(id);
      }
    }
  }
}

function keyOf(task: Task): string {
  return `${task.id}/${task.attempt}`;
}
