import type { TaskRecord } from '@sequoiaquay/core';
import type { AppendHandle, BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A record about a task without the fields that the writer fills in. */
export type TaskProposal = DistributiveOmit<TaskRecord, 'at' | 'by' | 'id' | 'v'>;

/** Writes records about tasks to the `work` stream. */
export class TaskLog {
  constructor(
    private readonly appender: BatchAppender,
    private readonly entry: string,
    private readonly timers: TimerService,
  ) {}

  /** Appends a record; it is no longer offered once `offerMs` have passed. Gives the record's id. */
  append(proposal: TaskProposal, offerMs: number): AppendHandle & { id: string } {
    const id = randomUUID();
    const record = { ...proposal, at: this.timers.now(), by: this.entry, id, v: 1 };
    return { id, ...this.appender.append(record, AbortSignal.timeout(offerMs)) };
  }
}
