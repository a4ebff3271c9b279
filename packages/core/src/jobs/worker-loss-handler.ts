import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import { DECISION } from './scheduler-output';
import { findCrash, isStartingTasks } from './worker-crash';

/** Time for which a closed connection is remembered, in ms: longer than the leases of runs. */
const DISCONNECTION_MEMORY_MS = 15_000;

/** Most tasks that the log line about a crash names. */
const MAX_LOGGED_SUSPECTS = 20;

/** Releases the runs of workers that are lost, and finds the tasks that crash them. */
export class WorkerLossHandler {
  #disconnected: Worker[] = [];

  constructor(
    private readonly ctx: SchedulerContext,
    private readonly runControl: RunControl,
  ) {}

  /**
   * Handles a call that found the connection to a worker closed or refused. A connection that is only reset can be
   * opened again, so a crash counts from the second such call on. It is stored at once: the next leader could not
   * tell which runs had just been started.
   */
  handleDisconnection(worker: Worker, now: number): void {
    if (worker.disconnection === undefined) {
      this.#remember(worker, now);
      return;
    }
    for (const task of this.#recordCrash(worker)) {
      this.runControl.storeTask(task);
      this.runControl.failIfExhausted(task, now);
    }
  }

  #remember(worker: Worker, now: number): void {
    worker.disconnection = { at: now, wasStarting: isStartingTasks(worker, now) };
    this.#disconnected = this.#disconnected.filter(
      ({ disconnection }) => now - (disconnection?.at ?? -Infinity) < DISCONNECTION_MEMORY_MS,
    );
    this.#disconnected.push(worker);
  }

  /** Releases the runs whose lease has expired. */
  releaseExpired(worker: Worker, now: number): void {
    // A starting run is kept: if its order has not been sent yet, it has not extended the lease.
    const lost = [...worker.runs.values()].filter((task) => task.phase !== 'starting');
    this.#release(worker, lost, 'lease-ended', now);
  }

  /** Releases the runs of a worker whose process has certainly ended and receives no more orders. */
  releaseAll(worker: Worker, reason: string, now: number): void {
    this.#release(worker, [...worker.runs.values()], reason, now);
  }

  /**
   * Releases the runs of the previous incarnation. An order in flight may reach the new incarnation. Runs that
   * `mayHaveRun` accepts are kept: the next report of the new incarnation decides about them.
   */
  releaseAfterRestart(worker: Worker, now: number, mayHaveRun: (task: Task) => boolean): void {
    const runs = [...worker.runs.values()];
    const lost = runs.filter((task) => (task.phase === 'running' || task.isRestored) && !mayHaveRun(task));
    for (const task of runs) {
      if (!lost.includes(task)) {
        task.stopAcknowledgedAt = undefined;
        task.applyEvent('lose', now);
      }
    }
    this.#release(worker, lost, 'worker-restarted', now);
  }

  #release(worker: Worker, lost: readonly Task[], reason: string, now: number): void {
    const suspects = lost.length === 0 ? [] : this.#recordCrash(worker);
    for (const task of lost) {
      this.runControl.release(task, reason, now);
    }
    for (const task of suspects) {
      this.runControl.failIfExhausted(task, now);
    }
  }

  // A crash counts once: its runs may be released one after the other, and again by the next leader.
  #recordCrash(worker: Worker): Task[] {
    const crash =
      worker.isCrashRecorded || worker.runs.size === 0 ? undefined : findCrash(worker, this.#disconnected);
    if (crash === undefined) {
      return [];
    }
    worker.isCrashRecorded = true;
    const suspects = crash.suspects.filter((task) => task.crashes.lastRun !== task.run);
    for (const task of suspects) {
      task.crashes.alone += Number(crash.isAlone);
      task.crashes.caused += Number(crash.isCertain);
      task.crashes.lastRun = task.run;
      task.crashes.suspected += 1;
    }
    this.ctx.log(DECISION.workerCrashed, {
      alone: crash.isAlone,
      certain: crash.isCertain,
      runs: worker.runs.size,
      suspectCount: suspects.length,
      suspects: suspects.slice(0, MAX_LOGGED_SUSPECTS).map((task) => task.name),
      worker: worker.info.id,
    });
    return suspects;
  }
}
