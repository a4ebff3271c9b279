import type { TimerService } from '@sequoiaquay/runtime';
import { hasEnded, ownerRank } from '@sequoiaquay/core';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { TaskLog } from './task-log';
import type { TaskSettings } from './task-settings';

/** Parts of an entry that keep tasks in the log. */
export interface TaskCarrierParts {
  entry: string;
  log: TaskLog;
  members: LiveMembers;
  settings: TaskSettings;
  timers: TimerService;
  work: WorkReplica;
}

/** Share of the retention after which a task's owner carries it on; the next entry waits half as long again. */
const CARRY_SHARE = 0.25;

/** Carried states offered in one round, so that they don't crowd out other records. */
const MAX_CARRIED = 100;

/** Time for which a carried state is offered to the log, in ms; later it would be out of date. */
const OFFER_MS = 5000;

/** Appends the state of each task again well before its newest whole record is trimmed. */
export class TaskCarrier {
  readonly #offered = new Map<string, number>();

  constructor(private readonly parts: TaskCarrierParts) {}

  /** Works until the signal aborts. */
  start(signal: AbortSignal): void {
    this.parts.timers.every(
      this.parts.settings.tickMs,
      () => {
        this.#round();
      },
      signal,
    );
  }

  #round(): void {
    const { settings, timers, work } = this.parts;
    if (!work.caughtUp) {
      return;
    }
    const beforeOffset = work.next - CARRY_SHARE * settings.retentionRecords;
    const beforeAt = timers.now() - CARRY_SHARE * settings.retentionMs;
    this.#forgetOffers();
    for (const task of work.tasks.toCarry(beforeOffset, beforeAt, MAX_CARRIED)) {
      if (this.#isDue(task.id) && !this.#offered.has(task.id)) {
        this.#offered.set(task.id, timers.mono());
        const state = structuredClone(task);
        // A finished task needs no body, and its answer is what callers still ask for.
        state.body = hasEnded(task) ? '' : task.body;
        this.parts.log.append({ asOf: work.next, kind: 'task-state', state, task: task.id }, OFFER_MS);
      }
    }
  }

  #isDue(id: string): boolean {
    const { entry, members, settings, timers, work } = this.parts;
    const names = members.entries().map((member) => member.name);
    const rank = ownerRank(id, entry, names);
    const carried = work.tasks.carriedAt(id);
    if (rank < 0 || carried === undefined) {
      return false;
    }
    const share = Math.min(CARRY_SHARE * (1 + rank / 2), 2.5 * CARRY_SHARE);
    return (
      work.next - carried.offset >= share * settings.retentionRecords ||
      timers.now() - carried.at >= share * settings.retentionMs
    );
  }

  #forgetOffers(): void {
    for (const [id, at] of this.#offered) {
      if (this.parts.timers.mono() - at > OFFER_MS) {
        this.#offered.delete(id);
      }
    }
  }
}
