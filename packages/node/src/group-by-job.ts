import type { TaskRecord } from '@sequoiaquay/core/jobs';
import { parseTaskName } from '@sequoiaquay/core/jobs';

/** Groups task records by job id; a record whose task name cannot be parsed forms a group of its own. */
export function groupByJob(records: readonly TaskRecord[]): Map<string, TaskRecord[]> {
  const recordsByJob = new Map<string, TaskRecord[]>();
  for (const record of records) {
    const id = parseTaskName(record.task)?.jobId ?? record.task;
    const group = recordsByJob.get(id) ?? [];
    group.push(record);
    recordsByJob.set(id, group);
  }
  return recordsByJob;
}
