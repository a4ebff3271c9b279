import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { QueueRefusal, QueueRefusalReason, QueueRequest } from './queue-request';
import type { TeamPolicy } from './queue-settings';

/** Load that a new request finds in a queue. */
export interface QueueLoad {
  expectedWaitMs: number;
  /** Number of queued requests. */
  queued: number;
  queuedBytes: number;
  /** Slots of the targets on which the request may run. */
  slots: number;
  /** Grants in use by the request's team. */
  teamInFlight: number;
  /** Queued requests of the request's team. */
  teamQueued: number;
}

/** Capacity limits of a queue. */
export interface AdmissionLimits {
  maxQueued: number;
  maxQueuedBytes: number;
}

/** Expected wait reported with a refusal when none can be estimated, in ms. */
const DEFAULT_WAIT_MS = 1000;

/** Refuses requests on arrival that exceed a limit or cannot start within their deadline. */
export class AdmissionController {
  constructor(private readonly limits: AdmissionLimits) {}

  /** Checks whether the queue accepts a request; fails with the first limit that the request exceeds. */
  check(req: QueueRequest, load: QueueLoad, team: TeamPolicy, now: number): Result<void, QueueRefusal> {
    if (load.slots === 0) {
      return refuse('no-target', 'the pool has no target that receives work', DEFAULT_WAIT_MS);
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

// Requests within the in-flight quota start at once or wait for a slot; only requests beyond it count
// towards the queued quota.
function isOverQuota(load: QueueLoad, team: TeamPolicy): boolean {
  return (
    team.quota !== undefined && load.teamInFlight + load.teamQueued >= team.quota.inFlight + team.quota.queued
  );
}

function refuse(reason: QueueRefusalReason, detail: string, waitMs: number): Result<void, QueueRefusal> {
  return err({ detail, reason, waitMs });
}
