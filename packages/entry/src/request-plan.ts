import type { FleetState, JobSettings, PoolSettings } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { jobSettings, MAX_KEY_LENGTH_CHARS, poolSettings } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import { createHash } from 'node:crypto';
import { Maybe } from 'true-myth';
import type { CallerRefusal, CallerRefusalReason } from './refusal';

/** Names of the HTTP headers that the caller API reads and sets. */
export const HEADER = {
  deadline: 'sequoiaquay-deadline-ms',
  key: 'idempotency-key',
  outcome: 'sequoiaquay-outcome',
  repeatable: 'sequoiaquay-repeatable',
  requestId: 'sequoiaquay-request-id',
} as const;

/** A caller's request as received. */
export interface CallerRequest {
  body: Buffer;
  contentType: string;
  /** Returns the value of a header by its lower-case name. */
  header: (name: string) => string | undefined;
  id: string;
  job: string;
  pool: string;
}

/** A validated request with the settings that apply to it. */
export interface RequestPlan {
  body: Buffer;
  contentType: string;
  /** Hash of the pool, the job and the body; detects the reuse of a key for another request. */
  digest: string;
  id: string;
  job: string;
  jobSettings: JobSettings;
  /** Idempotency key; always present unless the request is repeatable. */
  key: string | undefined;
  pool: string;
  poolSettings: PoolSettings;
  repeatable: boolean;
  team: string;
  /** Time within which the caller expects an answer, in ms. */
  timeoutMs: number;
}

/** Validates a request against the settings; returns a refusal if it must not run. */
export function planRequest(state: FleetState, req: CallerRequest): Result<RequestPlan, CallerRefusal> {
  const pool = poolSettings(state, req.pool);
  const team = state.poolOwners.get(req.pool);
  if (pool === undefined || team === undefined) {
    return refuse('unknown-pool', `pool ${JSON.stringify(req.pool)} doesn't exist`);
  }
  const job = jobSettings(pool, req.job);
  if (job === undefined) {
    return refuse('unknown-job', `pool ${req.pool} has no job ${JSON.stringify(req.job)}`);
  }
  const timeoutMs = parseTimeoutMs(req.header(HEADER.deadline), job.timeoutMs);
  const repeatableHeader = req.header(HEADER.repeatable);
  if (timeoutMs === undefined) {
    return refuse('bad-request', `${HEADER.deadline} must be a whole number of milliseconds above 0`);
  }
  if (repeatableHeader !== undefined && repeatableHeader !== 'true' && repeatableHeader !== 'false') {
    return refuse('bad-request', `${HEADER.repeatable} must be "true" or "false"`);
  }
  // The header can disable repeats for a request, but not enable them for a job.
  const repeatable = job.repeatable && repeatableHeader !== 'false';
  const key = req.header(HEADER.key);
  if (!repeatable && (key === undefined || key === '')) {
    return refuse('key-required', `job ${req.job} is not repeatable and needs an Idempotency-Key`);
  }
  if (key !== undefined && key.length > MAX_KEY_LENGTH_CHARS) {
    return refuse('bad-request', `Idempotency-Key is longer than ${MAX_KEY_LENGTH_CHARS} characters`);
  }
  return ok({
    body: req.body,
    contentType: req.contentType,
    timeoutMs,
    digest: computeDigest(req),
    id: req.id,
    job: req.job,
    jobSettings: job,
    key,
    pool: req.pool,
    poolSettings: pool,
    repeatable,
    team,
  });
}

// Names can't contain a line feed, so the parts of the hashed text are unambiguous.
function computeDigest(req: CallerRequest): string {
  return createHash('sha256').update(`${req.pool}\n${req.job}\n`).update(req.body).digest('base64url');
}

function parseTimeoutMs(value: string | undefined, timeoutMs: number): number | undefined {
  if (value === undefined) {
    return timeoutMs;
  }
  return /^[1-9]\d{0,8}$/.test(value) ? Math.min(Number(value), timeoutMs) : undefined;
}

function refuse(reason: CallerRefusalReason, detail: string): Result<never, CallerRefusal> {
  return err({ detail, outcome: 'not-run', reason, retryAfterS: Maybe.nothing<number>() });
}
