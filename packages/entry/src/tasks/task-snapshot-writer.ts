import type { Task } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import { ownerRank } from '@sequoiaquay/core';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { TaskLog } from './task-log';
import type { TaskSettings } from './task-settings';

/** Dependencies of the task snapshot writer. */
export interface TaskSnapshotWriterDependencies {
  entry: string;
  log: TaskLog;
  members: LiveMembers;
  settings: TaskSettings;
  timers: TimerService;
  work: WorkReplica;
}

/** Share of retention after which a task's owner writes a snapshot; the next entry waits half as long again. */
const SNAPSHOT_SHARE = 0.25;

/** Largest number of tasks at which ended tasks get snapshots too, as a share of the retained records. */
const MAX_ENDED_SHARE = 0.125;

/** Limit on the snapshots of live tasks and of ended tasks per round, so that other records are not delayed. */
const MAX_SNAPSHOTS_PER_ROUND = 100;

/** Time for which the append of a snapshot is retried, in ms; an older snapshot would be out of date. */
const APPEND_TIMEOUT_MS = 5000;

/** Appends a snapshot of each task's state well before the log trims the newest record with the whole state. */
export class TaskSnapshotWriter {
  /** Snapshots whose append may still succeed: time of the append, and offset of the record to replace. */
  readonly #pendingAppends = new Map<string, { at: number; replacedOffset: number }>();

  constructor(private readonly deps: TaskSnapshotWriterDependencies) {}

  /** Writes snapshots until the signal aborts. */
  start(signal: AbortSignal): void {
    this.deps.timers.every(
      this.deps.settings.tickMs,
      () => {
        this.#writeDueSnapshots();
      },
      signal,
    );
  }

  // Live tasks come first. Ended tasks get snapshots only while all tasks number at most an eighth of the
  // retained records: with more, the snapshots themselves would make the log trim earlier ones.
  #writeDueSnapshots(): void {
    const { settings, timers, work } = this.deps;
    if (!work.caughtUp) {
      return;
    }
    const beforeOffset = work.nextOffset - SNAPSHOT_SHARE * settings.retentionRecords;
    const beforeAt = timers.now() - SNAPSHOT_SHARE * settings.retentionMs;
    this.#removeSettledAppends();
    this.#appendSnapshots(work.tasks.dueForSnapshot('live', beforeOffset, beforeAt, MAX_SNAPSHOTS_PER_ROUND));
    if (work.tasks.size <= MAX_ENDED_SHARE * settings.retentionRecords) {
      this.#appendSnapshots(
        work.tasks.dueForSnapshot('ended', beforeOffset, beforeAt, MAX_SNAPSHOTS_PER_ROUND),
      );
    }
  }

  #appendSnapshots(tasks: readonly Task[]): void {
    const { log, timers, work } = this.deps;
    for (const task of tasks) {
      if (this.#isDue(task.id) && !this.#pendingAppends.has(task.id)) {
        const replacedOffset = work.tasks.snapshotPosition(task.id)?.offset ?? 0;
        this.#pendingAppends.set(task.id, { at: timers.mono(), replacedOffset });
        log.append(
          { asOf: work.nextOffset, kind: 'task-state', state: structuredClone(task), task: task.id },
          APPEND_TIMEOUT_MS,
        );
      }
    }
  }

  #isDue(id: string): boolean {
    const { entry, members, settings, timers, work } = this.deps;
    const names = members.entries().map((member) => member.name);
    const rank = ownerRank(id, entry, names);
    const position = work.tasks.snapshotPosition(id);
    if (rank < 0 || position === undefined) {
      return false;
    }
    const share = Math.min(SNAPSHOT_SHARE * (1 + rank / 2), 2.5 * SNAPSHOT_SHARE);
    return (
      work.nextOffset - position.offset >= share * settings.retentionRecords ||
      timers.now() - position.at >= share * settings.retentionMs
    );
  }

  #removeSettledAppends(): void {
    const { timers, work } = this.deps;
    for (const [id, pending] of this.#pendingAppends) {
      const isReplaced = work.tasks.snapshotPosition(id)?.offset !== pending.replacedOffset;
      if (isReplaced || timers.mono() - pending.at > APPEND_TIMEOUT_MS) {
        this.#pendingAppends.delete(id);
      }
    }
  }
}
