import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { JobPolicy } from './fleet-config';
import type { Job } from './job-spec';
import { findJobProblems } from './job-spec';
import { parseJson } from './parse-json';

/** Kinds of records in the stream of jobs. */
export const JOB_RECORD = {
  cancel: 'cancel',
  delete: 'delete',
  forget: 'forget',
  leader: 'leader',
  leaderRequest: 'leader-request',
  state: 'state',
  submit: 'submit',
  withdraw: 'withdraw',
} as const;

/** Prefixes of the keys under which the records of a job are stored. */
export const JOB_KEY_PREFIX = {
  cancelled: 'c',
  ended: 'e',
  running: 'r',
  submitted: 'j',
  withdrawn: 'w',
} as const;

/** Prefix of the key of a record of a job. */
export type JobKeyPrefix = (typeof JOB_KEY_PREFIX)[keyof typeof JOB_KEY_PREFIX];

/** Records that a job was accepted. Applying the record again changes nothing. */
export interface SubmitRecord {
  job: Job;
  kind: typeof JOB_RECORD.submit;
}

/** Records that a caller cancelled a job, which was accepted before. Deletes the specification of the job. */
export interface CancelRecord {
  id: string;
  kind: typeof JOB_RECORD.cancel;
}

/**
 * Records that a caller cancelled a job of which no record was stored. One whose append got no answer may be stored
 * later; it never runs then.
 */
export interface WithdrawRecord {
  id: string;
  kind: typeof JOB_RECORD.withdraw;
  /** Workspace of the caller, whose jobs the record concerns; undefined without a key. */
  workspace: string | undefined;
}

/** Deletes one of the records of a job. */
export interface DeleteRecord {
  id: string;
  kind: typeof JOB_RECORD.delete;
  prefix: JobKeyPrefix;
}

/** Removes the state of an ended job when its retention time is over. */
export interface ForgetRecord {
  id: string;
  kind: typeof JOB_RECORD.forget;
}

/** Records the state of a job, as reported by the leader. Its end deletes the specification of the job. */
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
  kind: typeof JOB_RECORD.leader;
  node: string;
  /** Address at which other nodes call the leader; undefined if it takes no calls. */
  peerAddress?: string | undefined;
  /** Whether the leader steps down. */
  released: boolean;
  /** Secret of the term, with which other nodes call the leader. Never logged. */
  secret?: string | undefined;
  /** Node that is to take over; only if the leader steps down at its request. */
  successor?: string | undefined;
}

/** Request of a node to take over from the leader of a term. */
export interface LeaderRequestRecord {
  /** Fencing token of the leader's term. */
  epoch: number;
  /** Fitness of the node as leader. */
  fitness: number;
  kind: typeof JOB_RECORD.leaderRequest;
  /** Node that makes the request. */
  node: string;
}

/** Record about the leadership. */
export type LeadershipRecord = LeaderRecord | LeaderRequestRecord;

/** Record in the stream of jobs. */
export type JobRecord = CallerRecord | DeleteRecord | ForgetRecord | LeadershipRecord | StateRecord;

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

/** Advice and the other parts of a job's policy, in this order. */
const policySchema = z.tuple([
  z.object({ decisionMs: z.number(), perWorkerMs: z.number(), validityMs: z.number() }).nullable(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);

const jobSchema = z.object({
  acceptedAt: z.number(),
  // A job must not be lost because its policy can't be read.
  policy: policySchema.optional().catch(undefined),
  pool: z.string(),
  queue: z.string(),
  spec: z.object({
    body: z.string(),
    schedule: z.object({ count: z.int(), firstAt: z.number(), intervalMs: z.number() }).optional(),
    steps: z.array(stepSchema),
  }),
  // Nor because its workspace can't be read.
  workspace: z.string().optional().catch(undefined),
});

const withdrawalSchema = z.object({ workspace: z.string().optional() });

const stateSchema = z.enum(['completed', 'failed', 'running']);

const leaderSchema = z.object({
  epoch: z.int(),
  fitness: z.number().optional(),
  node: z.string(),
  // A heartbeat must not be lost because its address can't be read.
  peerAddress: z.string().optional().catch(undefined),
  released: z.boolean(),
  secret: z.string().optional().catch(undefined),
  successor: z.string().optional(),
});

const leaderRequestSchema = z.object({ epoch: z.int(), fitness: z.number(), node: z.string() });

const LEADER_KEY = 'leader';
const LEADER_REQUEST_KEY = 'leader-request';

/** Returns whether a record is about the leadership, and so about no job. */
export function isLeadershipRecord(record: JobRecord): record is LeadershipRecord {
  return record.kind === JOB_RECORD.leader || record.kind === JOB_RECORD.leaderRequest;
}

/** Record that a node writes for a caller. */
export type CallerRecord = CancelRecord | SubmitRecord | WithdrawRecord;

/** Returns whether a record is written for a caller; others are of the leader or of the node that writes them. */
export function isCallerRecord(record: JobRecord): record is CallerRecord {
  const { cancel, submit, withdraw } = JOB_RECORD;
  return record.kind === cancel || record.kind === submit || record.kind === withdraw;
}

/**
 * Encodes a record as one or more key-value pairs, in the order in which they must be stored. The end of a
 * job has its own key: the store keeps only the newest value of a key, and a leader that was partitioned may
 * write late that the job is running. The end or the cancellation comes before the deletion of the
 * specification, so that a reader of any part of the pairs never sees an accepted job as unknown.
 */
export function encodeJobRecord(record: JobRecord): KeyedRecord[] {
  const { cancelled, ended, running, submitted, withdrawn } = JOB_KEY_PREFIX;
  switch (record.kind) {
    case JOB_RECORD.cancel:
      return [{ key: `${cancelled}.${record.id}`, value: '1' }, ...deletions(record.id, submitted, running)];
    case JOB_RECORD.delete:
      return deletions(record.id, record.prefix);
    case JOB_RECORD.forget:
      return deletions(record.id, submitted, cancelled, running, ended, withdrawn);
    case JOB_RECORD.leader:
      return [{ key: LEADER_KEY, value: JSON.stringify(leaderSchema.parse(record)) }];
    case JOB_RECORD.leaderRequest:
      return [{ key: LEADER_REQUEST_KEY, value: JSON.stringify(leaderRequestSchema.parse(record)) }];
    case JOB_RECORD.state:
      return record.state === 'running'
        ? [{ key: `${running}.${record.id}`, value: record.state }]
        : [
            { key: `${ended}.${record.id}`, value: record.state },
            ...deletions(record.id, submitted, running),
          ];
    case JOB_RECORD.submit: {
      const { id, policy, ...job } = record.job;
      const value = JSON.stringify({ ...job, policy: policy && toPolicyRow(policy) });
      return [{ key: `${submitted}.${id}`, value }];
    }
    case JOB_RECORD.withdraw: {
      const { workspace } = record;
      return [{ key: `${withdrawn}.${record.id}`, value: JSON.stringify({ workspace }) }];
    }
  }
}

/**
 * Decodes a record. An undefined value decodes to a `delete` record. The error describes why the record is
 * invalid.
 */
export function decodeJobRecord(key: string, value: string | undefined): Result<JobRecord, string> {
  if (key === LEADER_KEY && value !== undefined) {
    return parseJson(value, leaderSchema).map((leader) => ({ kind: JOB_RECORD.leader, ...leader }));
  }
  if (key === LEADER_REQUEST_KEY && value !== undefined) {
    return parseJson(value, leaderRequestSchema).map((request) => ({
      kind: JOB_RECORD.leaderRequest,
      ...request,
    }));
  }
  const prefix = Object.values(JOB_KEY_PREFIX).find((known) => key.startsWith(`${known}.`));
  if (prefix === undefined) {
    return err(`record key ${key} has an unknown prefix`);
  }
  const id = key.slice(prefix.length + 1);
  if (value === undefined) {
    return ok({ id, kind: JOB_RECORD.delete, prefix });
  }
  if (prefix === JOB_KEY_PREFIX.submitted) {
    return decodeSubmission(id, value).mapErr((reason) => `record ${key}: ${reason}`);
  }
  if (prefix === JOB_KEY_PREFIX.cancelled) {
    return ok({ id, kind: JOB_RECORD.cancel });
  }
  if (prefix === JOB_KEY_PREFIX.withdrawn) {
    return parseJson(value, withdrawalSchema)
      .map(({ workspace }) => ({ id, kind: JOB_RECORD.withdraw, workspace }))
      .mapErr((reason) => `record ${key}: ${reason}`);
  }
  const state = stateSchema.safeParse(value);
  return state.success
    ? ok({ id, kind: JOB_RECORD.state, state: state.data })
    : err(`record ${key} has the unknown state ${value}`);
}

// A job that no node would have accepted would take the memory of every leader.
function decodeSubmission(id: string, value: string): Result<SubmitRecord, string> {
  return parseJson(value, jobSchema).andThen(({ policy, ...job }) => {
    const problems = findJobProblems(job.spec);
    return problems.length > 0
      ? err(problems.join(', '))
      : ok({ job: { id, ...job, policy: policy && toPolicy(policy) }, kind: JOB_RECORD.submit });
  });
}

function deletions(id: string, ...prefixes: JobKeyPrefix[]): KeyedRecord[] {
  return prefixes.map((prefix) => ({ key: `${prefix}.${id}`, value: undefined }));
}

function toPolicyRow(policy: JobPolicy): z.infer<typeof policySchema> {
  const { advice, maxAttempts, priority, stretch, targetMs } = policy;
  return [advice ?? null, maxAttempts, priority, stretch, targetMs];
}

function toPolicy(row: z.infer<typeof policySchema>): JobPolicy {
  const [advice, maxAttempts, priority, stretch, targetMs] = row;
  return { advice: advice ?? undefined, maxAttempts, priority, stretch, targetMs };
}
