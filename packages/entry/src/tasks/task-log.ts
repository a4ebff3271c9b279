import type { TaskRecord } from '@sequoiaquay/core';
import type { AppendHandle, BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A task record without the fields that `TaskLog` fills in. */
export type TaskProposal = DistributiveOmit<TaskRecord, 'at' | 'by' | 'id' | 'v'>;

/** Appends task records to the `work` stream. */
export class TaskLog {
  constructor(
    private readonly appender: BatchAppender,
    private readonly entry: string,
    private readonly timers: TimerService,
  ) {}

  /** Appends a record and returns its id; the append is not retried once `timeoutMs` have passed. */
  append(proposal: TaskProposal, timeoutMs: number): AppendHandle & { id: string } {
    const id = randomUUID();
    const record = { ...proposal, at: this.timers.now(), by: this.entry, id, v: 1 };
    return { id, ...this.appender.append(record, AbortSignal.timeout(timeoutMs)) };
  }
}
