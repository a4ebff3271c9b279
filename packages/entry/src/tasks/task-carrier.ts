import type { Task } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { ownerRank } from '@sequoiaquay/core';
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

/** Most tasks for which ended ones are carried too, as a share of the records that the log retains. */
const MAX_ENDED_SHARE = 0.125;

/** Carried states offered in one round, so that they don't crowd out other records. */
const MAX_CARRIED = 100;

/** Time for which a carried state is offered to the log, in ms; later it would be out of date. */
const OFFER_MS = 5000;

/** Appends the state of each task again well before its newest whole record is trimmed. */
export class TaskCarrier {
  /** Offers that the log may still take: their time, and the offset of the record that they replace. */
  readonly #offered = new Map<string, { at: number; replaces: number }>();

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

  // Live tasks come first. Ended ones are carried only while they are few for the retention: carrying more
  // than an eighth of it would itself trim what was carried.
  #round(): void {
    const { settings, timers, work } = this.parts;
    if (!work.caughtUp) {
      return;
    }
    const beforeOffset = work.nextOffset - CARRY_SHARE * settings.retentionRecords;
    const beforeAt = timers.now() - CARRY_SHARE * settings.retentionMs;
    this.#forgetOffers();
    this.#carry(work.tasks.dueForSnapshot('live', beforeOffset, beforeAt, MAX_CARRIED));
    if (work.tasks.size <= MAX_ENDED_SHARE * settings.retentionRecords) {
      this.#carry(work.tasks.dueForSnapshot('ended', beforeOffset, beforeAt, MAX_CARRIED));
    }
  }

  #carry(tasks: readonly Task[]): void {
    const { log, timers, work } = this.parts;
    for (const task of tasks) {
      if (this.#isDue(task.id) && !this.#offered.has(task.id)) {
        const replaces = work.tasks.snapshotPosition(task.id)?.offset ?? 0;
        this.#offered.set(task.id, { at: timers.mono(), replaces });
        log.append(
          { asOf: work.nextOffset, kind: 'task-state', state: structuredClone(task), task: task.id },
          OFFER_MS,
        );
      }
    }
  }

  #isDue(id: string): boolean {
    const { entry, members, settings, timers, work } = this.parts;
    const names = members.entries().map((member) => member.name);
    const rank = ownerRank(id, entry, names);
    const carried = work.tasks.snapshotPosition(id);
    if (rank < 0 || carried === undefined) {
      return false;
    }
    const share = Math.min(CARRY_SHARE * (1 + rank / 2), 2.5 * CARRY_SHARE);
    return (
      work.nextOffset - carried.offset >= share * settings.retentionRecords ||
      timers.now() - carried.at >= share * settings.retentionMs
    );
  }

  #forgetOffers(): void {
    const { timers, work } = this.parts;
    for (const [id, offer] of this.#offered) {
      const isTaken = work.tasks.snapshotPosition(id)?.offset !== offer.replaces;
      if (isTaken || timers.mono() - offer.at > OFFER_MS) {
        this.#offered.delete(id);
      }
    }
  }
}
