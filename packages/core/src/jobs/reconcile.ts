import type { Task } from './task';
import type { Worker } from './worker';
import type { ReportedEnd, ReportedRun, WorkerReport } from './worker-report';
import { LATE_ORDER_WINDOW_MS } from './late-order-window';

/** Differences between a report and the assignments of its worker. */
export interface ReportFindings {
  /** Ended runs that were not read before. */
  newEnds: ReportedEnd[];
  /** Orphaned runs: the worker runs them, but they are not assigned to it. */
  orphans: ReportedRun[];
  /** Assigned tasks that the worker is known not to run. */
  released: Task[];
  /** Tasks whose unanswered order must be revoked, because the worker may still execute it. */
  unconfirmed: Task[];
}

/**
 * Compares a report with the assignments of its worker and confirms the runs that it lists. A report counts
 * as evidence against the phase of a task only if it was requested after the task entered that phase, and only if
 * it lists all ends.
 *
 * @param askedAt Monotonic time at which the report was requested, in ms.
 */
export function reconcile(
  worker: Worker,
  report: WorkerReport,
  askedAt: number,
  now: number,
): ReportFindings {
  const findings: ReportFindings = { newEnds: [], released: [], orphans: [], unconfirmed: [] };
  findings.newEnds = report.ended.filter((row) => row.number > worker.endsRead);
  const listed = new Set<string>();
  for (const row of report.running) {
    const task = worker.runs.get(row.task);
    if (task?.run === row.run) {
      listed.add(row.task);
      task.provenBornAt = worker.info.bornAt;
      confirmRun(task, row, now);
    } else {
      findings.orphans.push(row);
    }
  }
  for (const row of report.ended) {
    if (worker.runs.get(row.task)?.run === row.run) {
      listed.add(row.task);
    }
  }
  if (report.hasMoreEnds === true) {
    return findings;
  }
  for (const task of worker.runs.values()) {
    if (!listed.has(task.name)) {
      classifyMissingTask(task, askedAt, findings);
    }
  }
  return findings;
}

function confirmRun(task: Task, row: ReportedRun, now: number): void {
  if (row.percent !== task.progressPercent) {
    task.progressPercent = row.percent;
    task.progressChangedAt = now;
  }
  task.load = row.load;
  if (row.checkpoint !== '') {
    task.checkpoint = row.checkpoint;
  }
  task.applyEvent('confirm', now);
}

function classifyMissingTask(task: Task, askedAt: number, findings: ReportFindings): void {
  if (task.phase === 'running' && task.phaseSince < askedAt) {
    findings.released.push(task);
  } else if (task.phase === 'unconfirmed' && task.isRestored) {
    findings.released.push(task);
  } else if (task.phase === 'unconfirmed' && task.phaseSince < askedAt) {
    findings.unconfirmed.push(task);
  } else if (task.phase === 'stopping' && hasStopped(task, askedAt)) {
    findings.released.push(task);
  }
}

// A worker whose reports arrive may leave all orders to stop unanswered.
function hasStopped(
  { isRestored, phaseSince, runningSince, stopAcknowledgedAt }: Task,
  askedAt: number,
): boolean {
  const isRevoked = stopAcknowledgedAt !== undefined && stopAcknowledgedAt < askedAt;
  const wasStarted = (isRestored || runningSince > -Infinity) && phaseSince < askedAt;
  // The order to start was sent before the order to stop.
  const isOrderVoid = askedAt - phaseSince > LATE_ORDER_WINDOW_MS;
  return isRevoked || wasStarted || isOrderVoid;
}
