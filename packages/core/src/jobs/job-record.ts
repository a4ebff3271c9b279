import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { Job } from './job-spec';
import { parseJson } from './parse-json';

/** Kinds of records in the stream of jobs. */
export const JOB_RECORD = {
  cancel: 'cancel',
  forget: 'forget',
  leader: 'leader',
  state: 'state',
  submit: 'submit',
} as const;

/** Records that a job was accepted. Applying the record again changes nothing. */
export interface SubmitRecord {
  job: Job;
  kind: typeof JOB_RECORD.submit;
}

/** Records that a caller cancelled a job. */
export interface CancelRecord {
  id: string;
  kind: typeof JOB_RECORD.cancel;
}

/** Removes the state of an ended job when its retention time is over. */
export interface ForgetRecord {
  id: string;
  kind: typeof JOB_RECORD.forget;
}

/** Records the state of a job, as reported by the leader. */
export interface StateRecord {
  id: string;
  kind: typeof JOB_RECORD.state;
  state: 'completed' | 'failed' | 'running';
}

/** Heartbeat of the leader, or the release of its leadership. */
export interface LeaderRecord {
  /** Fencing token of the leader's term. */
  epoch: number;
  /** Fitness of the node as leader; undefined in records of versions that do not state it. */
  fitness?: number | undefined;
  isRequest?: undefined;
  kind: typeof JOB_RECORD.leader;
  node: string;
  /** Whether the leader steps down. */
  released: boolean;
  /** Node that is to take over; only if the leader steps down at its request. */
  successor?: string | undefined;
}

/** Request of a node to take over from the leader of a term. */
export interface LeaderRequestRecord {
  /** Fencing token of the leader's term. */
  epoch: number;
  /** Fitness of the node as leader. */
  fitness: number;
  isRequest: true;
  kind: typeof JOB_RECORD.leader;
  /** Node that makes the request. */
  node: string;
}

/** Record in the stream of jobs. */
export type JobRecord =
  CancelRecord | ForgetRecord | LeaderRecord | LeaderRequestRecord | StateRecord | SubmitRecord;

/** Record as a key-value pair; the store keeps the newest value of each key. */
export interface KeyedRecord {
  key: string;
  /** Undefined removes the key (tombstone). */
  value: string | undefined;
}

const stepSchema = z.object({
  after: z.array(z.int()),
  checkpointable: z.boolean(),
  count: z.int(),
  demand: z.object({ cpuMilli: z.number(), gpus: z.number(), memoryMb: z.number() }),
  estimatedMs: z.number(),
  fillsIdle: z.boolean(),
  gang: z.boolean(),
  image: z.string(),
  longRunning: z.boolean(),
  maxPerWorker: z.int(),
  mayMiss: z.int(),
  preferredRack: z.string(),
  rackSensitive: z.boolean(),
  requiredLabel: z.string(),
  speculative: z.boolean(),
  tailTargetMs: z.number(),
});

const jobSchema = z.object({
  acceptedAt: z.number(),
  pool: z.string(),
  queue: z.string(),
  spec: z.object({
    body: z.string(),
    schedule: z.object({ count: z.int(), firstAt: z.number(), intervalMs: z.number() }).optional(),
    steps: z.array(stepSchema),
  }),
});

const stateSchema = z.enum(['completed', 'failed', 'running']);

const leaderSchema = z.object({
  epoch: z.int(),
  fitness: z.number().optional(),
  node: z.string(),
  released: z.boolean(),
  successor: z.string().optional(),
});

const leaderRequestSchema = z.object({ epoch: z.int(), fitness: z.number(), node: z.string() });

const LEADER_KEY = 'leader';
const LEADER_REQUEST_KEY = 'leader-request';

/**
 * Encodes a record as one or more key-value pairs. The end of a job has its own key: the store keeps only
 * the newest value of a key, and a leader that was partitioned may write late that the job is running.
 */
export function encodeJobRecord(record: JobRecord): KeyedRecord[] {
  switch (record.kind) {
    case JOB_RECORD.cancel:
      return [{ key: `c.${record.id}`, value: '1' }];
    case JOB_RECORD.forget:
      return ['j', 'c', 'r', 'e'].map((prefix) => ({ key: `${prefix}.${record.id}`, value: undefined }));
    case JOB_RECORD.leader:
      return record.isRequest === true
        ? [{ key: LEADER_REQUEST_KEY, value: JSON.stringify(leaderRequestSchema.parse(record)) }]
        : [{ key: LEADER_KEY, value: JSON.stringify(leaderSchema.parse(record)) }];
    case JOB_RECORD.state:
      return [{ key: `${record.state === 'running' ? 'r' : 'e'}.${record.id}`, value: record.state }];
    case JOB_RECORD.submit: {
      const { id, ...job } = record.job;
      return [{ key: `j.${id}`, value: JSON.stringify(job) }];
    }
  }
}

/**
 * Decodes a record. An undefined value decodes to a `forget` record. The error describes why the record is
 * invalid.
 */
export function decodeJobRecord(key: string, value: string | undefined): Result<JobRecord, string> {
  const id = key.slice(2);
  if (value === undefined) {
    return ok({ id, kind: JOB_RECORD.forget });
  }
  if (key === LEADER_KEY) {
    return parseJson(value, leaderSchema).map((leader) => ({ kind: JOB_RECORD.leader, ...leader }));
  }
  if (key === LEADER_REQUEST_KEY) {
    return parseJson(value, leaderRequestSchema).map((request) => ({
      isRequest: true,
      kind: JOB_RECORD.leader,
      ...request,
    }));
  }
  if (key.startsWith('c.')) {
    return ok({ id, kind: JOB_RECORD.cancel });
  }
  if (key.startsWith('r.') || key.startsWith('e.')) {
    const state = stateSchema.safeParse(value);
    return state.success
      ? ok({ id, kind: JOB_RECORD.state, state: state.data })
      : err(`record ${key} has the unknown state ${value}`);
  }
  if (key.startsWith('j.')) {
    return parseJson(value, jobSchema).map((job) => ({ job: { id, ...job }, kind: JOB_RECORD.submit }));
  }
  return err(`record key ${key} has an unknown prefix`);
}
