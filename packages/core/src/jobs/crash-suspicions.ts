import type { OpenSuspicion } from './open-suspicion';
import type { CrashSuspicion } from './run-record';
import type { Task } from './task';
import type { WorkerInfo } from './worker';
import { openSuspicion } from './open-suspicion';

/** Most suspicions of a task that are kept; the oldest are dropped. */
const MAX_SUSPICIONS = 8;

/**
 * Time after a suspicion from which on an entry of the worker shows that its process goes on, in ms: longer than an
 * entry that was written before the suspicion takes to be read.
 */
const ENTRY_DELAY_MS = 3000;

/** Selects the suspicions of a task that are proven or disproved. */
export type SuspicionFilter = (suspicion: OpenSuspicion, task: Task) => boolean;

/** Suspicions of all tasks. They are counted once the end of the worker's process is proven, and else taken back. */
export class CrashSuspicions {
  readonly #tasks = new Set<Task>();

  /** Adds a suspicion at a monotonic time in ms. Returns false if the run is suspected already, or was counted. */
  add(task: Task, suspicion: CrashSuspicion, now: number): boolean {
    const { run } = suspicion;
    if (task.crashes.lastRun === run || task.suspicions.some((known) => known.run === run)) {
      return false;
    }
    task.suspicions = [...task.suspicions, openSuspicion(suspicion, now)].slice(-MAX_SUSPICIONS);
    this.track(task);
    return true;
  }

  /** Keeps track of a task that has suspicions, for example of an earlier term. */
  track(task: Task): void {
    if (task.suspicions.length > 0) {
      this.#tasks.add(task);
    }
  }

  /** Counts the suspicions that are proven. Returns their tasks. */
  confirm(isProven: SuspicionFilter): Task[] {
    return this.#remove(isProven, (task, { isAlone, isCertain, run }) => {
      const { crashes } = task;
      crashes.alone += Number(isAlone);
      crashes.caused += Number(isCertain);
      crashes.lastRun = Math.max(crashes.lastRun, run);
      crashes.suspected += 1;
    });
  }

  /** Takes back the suspicions that are disproved. Returns their tasks. */
  withdraw(isDisproved: SuspicionFilter): Task[] {
    return this.#remove(isDisproved, () => undefined);
  }

  /** Doubts the suspicions against an incarnation whose entry was read at a monotonic time in ms. */
  doubt({ bornAt, id }: WorkerInfo, now: number): void {
    for (const suspicion of [...this.#tasks].flatMap(({ suspicions }) => suspicions)) {
      const isSame = suspicion.workerId === id && suspicion.bornAt === bornAt;
      suspicion.isDoubted ||= isSame && now - suspicion.notedAt >= ENTRY_DELAY_MS;
    }
  }

  #remove(matches: SuspicionFilter, onRemoved: (task: Task, suspicion: OpenSuspicion) => void): Task[] {
    const changed: Task[] = [];
    for (const task of this.#tasks) {
      if (task.job.hasEnded) {
        this.#tasks.delete(task);
        continue;
      }
      const removed = task.suspicions.filter((suspicion) => matches(suspicion, task));
      if (removed.length > 0) {
        task.suspicions = task.suspicions.filter((suspicion) => !removed.includes(suspicion));
        for (const suspicion of removed) {
          onRemoved(task, suspicion);
        }
        changed.push(task);
      }
      if (task.suspicions.length === 0) {
        this.#tasks.delete(task);
      }
    }
    return changed;
  }
}

/**
 * Whether an entry proves that the process of a suspicion has ended: a later incarnation under its id, or another
 * worker at its address. The entry of an earlier worker at the address may still be there.
 */
export function provesEnd({ address, bornAt, id }: WorkerInfo, suspicion: CrashSuspicion): boolean {
  return bornAt > suspicion.bornAt && (id === suspicion.workerId || address === suspicion.address);
}
