import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import * as z from 'zod';
import type { KeyedRecord } from './job-record';
import { parseJson } from './parse-json';

/** Numbers of proven crashes of workers under a task. */
export interface CrashCounts {
  /** Crashes of workers that were starting no other task. */
  alone: number;
  /** Crashes that the task has certainly caused. */
  caused: number;
  /** Last run that a crash was counted for; each counts once. */
  lastRun: number;
  /** Crashes that the task may have caused, including those that it has. */
  suspected: number;
}

/**
 * Crash of a worker that a task may have caused, of which only closed connections are known: proof that the process
 * has ended, or that it has not, may come later.
 */
export interface CrashSuspicion {
  address: string;
  /** Start time of the worker's incarnation, in ms since the epoch. */
  bornAt: number;
  /** Whether the worker was starting no other task. */
  isAlone: boolean;
  /** Whether the task is certainly the cause if the process has ended. */
  isCertain: boolean;
  run: number;
  workerId: string;
}

/** State of a task, as stored by the leader. */
export interface TaskRecord {
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Crashes of workers under the task; undefined if there were none. */
  crashes?: CrashCounts | undefined;
  /** Number of failed runs. */
  failures: number;
  /** Number of the newest run; 0 before the first. */
  run: number;
  state: 'assigned' | 'done' | 'waiting';
  /** Crashes that are neither proven nor disproved; undefined if there are none. */
  suspicions?: readonly CrashSuspicion[] | undefined;
  task: string;
  /** Worker that runs the newest run, or may still list its end; empty before the first run and after its end. */
  workerId: string;
}

/** Counts of a task that has not been suspected. */
export const NO_CRASHES: Readonly<CrashCounts> = { alone: 0, caused: 0, lastRun: 0, suspected: 0 };

/** Key of the record that starts a term. */
export const TERM_KEY = 'leader';

const suspicionSchema = z.tuple([z.string(), z.int(), z.string(), z.int(), z.boolean(), z.boolean()]);

const recordSchema = z.tuple([
  z.enum(['a', 'd', 'w']),
  z.int(),
  z.string(),
  z.int(),
  z.string(),
  z.int().default(0),
  z.int().default(0),
  z.int().default(0),
  z.int().default(0),
  z.array(suspicionSchema).default([]),
]);

const STATE_CODE = { assigned: 'a', done: 'd', waiting: 'w' } as const;

const STATE_BY_CODE = { a: 'assigned', d: 'done', w: 'waiting' } as const;

/** Encodes the record of a task. */
export function encodeTaskRecord(record: TaskRecord): KeyedRecord {
  const { checkpoint, failures, run, state, task, workerId } = record;
  const { alone, caused, lastRun, suspected } = record.crashes ?? NO_CRASHES;
  const suspicions = (record.suspicions ?? []).map(toSuspicionRow);
  const counts = suspected > 0 || suspicions.length > 0 ? [suspected, caused, lastRun, alone] : [];
  const open = suspicions.length > 0 ? [suspicions] : [];
  return {
    key: `t.${task}`,
    value: JSON.stringify([STATE_CODE[state], run, workerId, failures, checkpoint, ...counts, ...open]),
  };
}

/** Returns the tombstone that removes the record of a task. */
export function encodeTaskTombstone(task: string): KeyedRecord {
  return { key: `t.${task}`, value: undefined };
}

/** Encodes the record with which a node starts a term as the leader. */
export function encodeTermRecord(node: string, attempt: string): KeyedRecord {
  return { key: TERM_KEY, value: JSON.stringify({ attempt, node }) };
}

/** Decodes the record of a task. The result is undefined for records of other kinds. */
export function decodeTaskRecord(key: string, value: string): Result<TaskRecord | undefined, string> {
  if (!key.startsWith('t.')) {
    return ok(undefined);
  }
  return parseJson(value, recordSchema)
    .map(([code, run, workerId, failures, checkpoint, suspected, caused, lastRun, alone, open]) => ({
      checkpoint,
      crashes: suspected > 0 ? { alone, caused, lastRun, suspected } : undefined,
      failures,
      run,
      state: STATE_BY_CODE[code],
      suspicions: open.length > 0 ? open.map(toSuspicion) : undefined,
      task: key.slice(2),
      workerId,
    }))
    .mapErr((reason) => `record ${key}: ${reason}`);
}

function toSuspicionRow(suspicion: CrashSuspicion): z.infer<typeof suspicionSchema> {
  const { address, bornAt, isAlone, isCertain, run, workerId } = suspicion;
  return [workerId, bornAt, address, run, isAlone, isCertain];
}

function toSuspicion(row: z.infer<typeof suspicionSchema>): CrashSuspicion {
  const [workerId, bornAt, address, run, isAlone, isCertain] = row;
  return { address, bornAt, isAlone, isCertain, run, workerId };
}
