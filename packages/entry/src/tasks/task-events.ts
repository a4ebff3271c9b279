import type { TaskApplyResult, TaskRecord } from '@sequoiaquay/core';
import type { EventRing } from '@sequoiaquay/runtime';
import type { WorkReplica } from '../work-replica';

/** Kinds of records that hold no news for operators and would displace other events from the timeline. */
const OMITTED_KINDS: ReadonlySet<TaskRecord['kind']> = new Set(['task-renew', 'task-state']);

/** Records this entry's task records as timeline events, until the signal aborts. */
export function recordTaskEvents(
  work: WorkReplica,
  ring: EventRing,
  entry: string,
  signal: AbortSignal,
): void {
  work.onTask((record, result) => {
    if (record.by === entry && !OMITTED_KINDS.has(record.kind)) {
      ring.add(record.kind, record.kind === 'task' ? record.id : record.task, toEventData(record, result));
    }
  }, signal);
}

function toEventData(record: TaskRecord, result: TaskApplyResult): Record<string, number | string> {
  const data: Record<string, number | string> = result.match(
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
