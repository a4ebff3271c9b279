import type { TaskApplyResult, TaskRecord } from '@sequoiaquay/core';
import type { EventRing } from '@sequoiaquay/runtime';
import type { WorkReplica } from '../work-replica';

/** Records that say nothing new to an operator and would crowd out the others. */
const QUIET_KINDS: ReadonlySet<TaskRecord['kind']> = new Set(['task-renew', 'task-state']);

/** Adds the steps of tasks that this entry took to the time line, until the signal aborts. */
export function recordTaskEvents(
  work: WorkReplica,
  ring: EventRing,
  entry: string,
  signal: AbortSignal,
): void {
  work.onTask((record, verdict) => {
    if (record.by === entry && !QUIET_KINDS.has(record.kind)) {
      ring.add(record.kind, record.kind === 'task' ? record.id : record.task, dataOf(record, verdict));
    }
  }, signal);
}

function dataOf(record: TaskRecord, verdict: TaskApplyResult): Record<string, number | string> {
  const data: Record<string, number | string> = verdict.match(
    (task) => ({ state: task.state }),
    (refusal) => ({ refused: refusal }),
  );
  if ('attempt' in record) {
    data.attempt = record.attempt;
  }
  if (record.kind === 'task-lease') {
    data.worker = record.worker;
  }
  if (record.kind === 'task-failed') {
    data.cause = record.cause;
    data.reason = record.reason;
  }
  return data;
}
