import type { Task } from './task';
import type { Worker } from './worker';
import type { EndRow, RunningRow, WorkerReport } from './worker-report';

/** What a report means for the tasks of its worker. */
export interface ReportFindings {
  /** Ends that were not read before. */
  ends: EndRow[];
  /** Tasks that the worker surely does not run. */
  released: Task[];
  /** Runs that nobody should run there. */
  strays: RunningRow[];
  /** Tasks whose order must be made void, since it may still be carried out. */
  unsure: Task[];
}

/**
 * Compares a report with what is assigned to the worker. Only a report that was asked for after an
 * answer or a failure can contradict it. Confirms the runs that the report lists.
 */
export function reconcile(
  worker: Worker,
  report: WorkerReport,
  askedAt: number,
  now: number,
): ReportFindings {
  const findings: ReportFindings = { ends: [], released: [], strays: [], unsure: [] };
  findings.ends = report.ended.filter((row) => row.number > worker.endsRead);
  const listed = new Set<string>();
  for (const row of report.running) {
    const task = worker.runs.get(row.task);
    if (task?.run === row.run) {
      listed.add(row.task);
      confirmRun(task, row, now);
    } else {
      findings.strays.push(row);
    }
  }
  for (const row of report.ended) {
    if (worker.runs.get(row.task)?.run === row.run) {
      listed.add(row.task);
    }
  }
  for (const task of worker.runs.values()) {
    if (!listed.has(task.name)) {
      judgeMissing(task, askedAt, findings);
    }
  }
  return findings;
}

function confirmRun(task: Task, row: RunningRow, now: number): void {
  if (row.percent !== task.percent) {
    task.percent = row.percent;
    task.percentChangedAt = now;
  }
  task.load = row.load;
  if (row.checkpoint !== '') {
    task.checkpoint = row.checkpoint;
  }
  task.advance('confirm', now);
}

function judgeMissing(task: Task, askedAt: number, findings: ReportFindings): void {
  if (task.phase === 'running' && task.phaseSince < askedAt) {
    findings.released.push(task);
  } else if (task.phase === 'unsure' && task.restored) {
    findings.released.push(task);
  } else if (task.phase === 'unsure' && task.phaseSince < askedAt) {
    findings.unsure.push(task);
  } else if (task.phase === 'stopping' && task.stoppedAt !== undefined && task.stoppedAt < askedAt) {
    findings.released.push(task);
  }
}
