import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import * as z from 'zod';
import type { KeyedRecord } from './job-record';
import { parseJson } from './parse-json';

/** What the leader has stored about a task. */
export interface TaskRecord {
  /** Newest checkpoint; empty when there is none. */
  checkpoint: string;
  /** Runs that ended as failed. */
  failures: number;
  /** Number of the newest run; 0 before the first. */
  run: number;
  state: 'assigned' | 'done' | 'waiting';
  task: string;
  /** Worker of the newest run; empty before the first. */
  workerId: string;
}

/** Key of the record with which a term begins. */
export const TERM_KEY = 'leader';

const recordSchema = z.tuple([z.enum(['a', 'd', 'w']), z.int(), z.string(), z.int(), z.string()]);

const LETTER = { assigned: 'a', done: 'd', waiting: 'w' } as const;

const STATE = { a: 'assigned', d: 'done', w: 'waiting' } as const;

/** Encodes what is known about a task. */
export function encodeTaskRecord(record: TaskRecord): KeyedRecord {
  const { checkpoint, failures, run, state, task, workerId } = record;
  return { key: `t.${task}`, value: JSON.stringify([LETTER[state], run, workerId, failures, checkpoint]) };
}

/** Record that drops what is known about a task. */
export function forgetTaskRecord(task: string): KeyedRecord {
  return { key: `t.${task}`, value: undefined };
}

/** Record with which a node begins a term as leader. */
export function encodeTermRecord(node: string, attempt: string): KeyedRecord {
  return { key: TERM_KEY, value: JSON.stringify({ attempt, node }) };
}

/** Decodes a record about a task; undefined for other kinds of record. */
export function decodeTaskRecord(key: string, value: string): Result<TaskRecord | undefined, string> {
  if (!key.startsWith('t.')) {
    return ok(undefined);
  }
  return parseJson(value, recordSchema)
    .map(([letter, run, workerId, failures, checkpoint]) => ({
      checkpoint,
      failures,
      run,
      state: STATE[letter],
      task: key.slice(2),
      workerId,
    }))
    .mapErr((problem) => `record ${key}: ${problem}`);
}
