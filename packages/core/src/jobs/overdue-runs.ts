import type { DecisionLog } from './scheduler-output';
import type { Task } from './task';
import type { Worker } from './worker';
import { DECISION } from './scheduler-output';

/** Time in a phase between two others after which a run is overdue, in ms; each line repeats after that time. */
const OVERDUE_AFTER_MS = 3000;

/** Time after which an order to start that has no outcome counts as unanswered, in ms. */
const MAX_STARTING_MS = 10_000;

/** Most lines at a time. */
const MAX_LINES = 20;

/** Reasons why a run stays between two phases, as they appear in the log. */
const DELAY = {
  noReport: 'no-report-since',
  orderNotAnswered: 'order-not-answered',
  silent: 'worker-silent',
  stopNotAcknowledged: 'stop-not-acknowledged',
  endNotListed: 'end-not-listed',
} as const;

/** Finds runs that stay long between two phases, so that their task neither runs nor waits. */
export class OverdueRuns {
  readonly #loggedAt = new WeakMap<Task, number>();

  constructor(private readonly log: DecisionLog) {}

  /**
   * Logs the overdue runs of a worker and returns those whose order to start should have had an outcome long ago,
   * whatever became of it.
   */
  check(worker: Worker, now: number): Task[] {
    const overdue = [...worker.runs.values()].filter(
      ({ phase, phaseSince }) => phase !== 'running' && now - phaseSince > OVERDUE_AFTER_MS,
    );
    const unlogged = overdue.filter(
      (task) => now - (this.#loggedAt.get(task) ?? -Infinity) > OVERDUE_AFTER_MS,
    );
    for (const task of unlogged.slice(0, MAX_LINES)) {
      this.#loggedAt.set(task, now);
      this.log(DECISION.overdue, {
        overdue: unlogged.length,
        phase: task.phase,
        phaseMs: Math.round(now - task.phaseSince),
        reason: findDelay(task, worker),
        run: task.run,
        task: task.name,
        worker: worker.info.id,
      });
    }
    return overdue.filter(
      ({ phase, phaseSince }) => phase === 'starting' && now - phaseSince > MAX_STARTING_MS,
    );
  }
}

function findDelay(task: Task, worker: Worker): (typeof DELAY)[keyof typeof DELAY] {
  if (task.phase === 'starting') {
    return DELAY.orderNotAnswered;
  }
  if (worker.isUnresponsive) {
    return DELAY.silent;
  }
  if (worker.lastReportAt < task.phaseSince) {
    return DELAY.noReport;
  }
  return task.phase === 'stopping' && task.stopAcknowledgedAt !== undefined
    ? DELAY.endNotListed
    : DELAY.stopNotAcknowledged;
}
