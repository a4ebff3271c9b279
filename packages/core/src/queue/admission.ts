import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { QueueRefusal, QueueRefusalReason, QueueRequest } from './queue-request';
import type { TeamPolicy } from './queue-settings';

/** Load of a queue as seen by a new request. Times in ms, sizes in bytes. */
export interface QueueLoad {
  expectedWaitMs: number;
  queued: number;
  queuedBytes: number;
  slots: number;
  teamInFlight: number;
  teamQueued: number;
}

/** Bounds of a queue. */
export interface AdmissionLimits {
  maxQueued: number;
  maxQueuedBytes: number;
}

/** Wait given with a refusal that has no measured one, in ms. */
const UNKNOWN_WAIT_MS = 1000;

/** Refuses, before it waits, work that exceeds a bound or cannot start within its deadline. */
export class Admission {
  constructor(private readonly limits: AdmissionLimits) {}

  /** Decides whether a request gets a place in the queue. */
  check(req: QueueRequest, load: QueueLoad, team: TeamPolicy, now: number): Result<void, QueueRefusal> {
    if (load.slots === 0) {
      return refuse('no-target', 'the pool has no target that receives work', UNKNOWN_WAIT_MS);
    }
    if (load.queued >= this.limits.maxQueued || load.queuedBytes + req.bytes > this.limits.maxQueuedBytes) {
      return refuse('queue-full', `the queue holds ${load.queued} requests`, load.expectedWaitMs);
    }
    if (isOverQuota(load, team)) {
      return refuse('quota', `team ${req.team} has ${load.teamQueued} requests queued`, load.expectedWaitMs);
    }
    const leftMs = req.deadlineAt - now;
    if (load.expectedWaitMs > leftMs || leftMs <= 0) {
      const detail = `the expected wait is ${Math.round(load.expectedWaitMs)} ms, ${Math.round(leftMs)} ms are left`;
      return refuse('deadline-unreachable', detail, load.expectedWaitMs);
    }
    return ok();
  }
}

// Work within the in-flight quota starts at once or waits for a slot; only the rest uses the queued quota.
function isOverQuota(load: QueueLoad, team: TeamPolicy): boolean {
  return (
    team.quota !== undefined && load.teamInFlight + load.teamQueued >= team.quota.inFlight + team.quota.queued
  );
}

function refuse(reason: QueueRefusalReason, detail: string, waitMs: number): Result<void, QueueRefusal> {
  return err({ detail, reason, waitMs });
}
