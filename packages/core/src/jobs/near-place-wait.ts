import type { RunTimeInterval } from './run-time-estimator';

/** Causes for which a task starts near its data, or in the rack of its step. */
export const NEAR_CAUSE = {
  /** A near worker had room when the task could first start. */
  atOnce: 'at-once',
  /** The task waited for a near worker although another one had room. */
  waited: 'waited',
} as const;

/** Causes for which a task starts elsewhere. */
export const FAR_CAUSE = {
  /** The workspace of the job uses more than its share. */
  aboveShare: 'above-share',
  /** The step has no margin in the number of tasks that may be unavailable. */
  availability: 'availability',
  /** The task has waited as long as it may. */
  limit: 'limit',
  /** A near worker has room, but another one is better for other reasons. */
  nearAvoided: 'near-avoided',
  /** No near worker is open or expected. */
  noNearWorker: 'no-near-worker',
  /** The job would miss its objective by waiting, and not by starting elsewhere. */
  objective: 'objective',
  /** The task may crash its worker. */
  suspected: 'suspected',
  /** The job was taken over from an earlier leader, which may have let the task wait already. */
  takenOver: 'taken-over',
  /** The expected wait costs more than a start elsewhere. */
  waitTooLong: 'wait-too-long',
} as const;

/** Cause for which a task starts near its data. */
export type NearCause = (typeof NEAR_CAUSE)[keyof typeof NEAR_CAUSE];

/** Cause for which a task starts elsewhere. */
export type FarCause = (typeof FAR_CAUSE)[keyof typeof FAR_CAUSE];

/** What a decision about a task is based on that could start elsewhere now. */
export interface NearPlaceInputs {
  /** Upper end of the expected time until a near worker has room, in ms; undefined if none is open or expected. */
  expectedWaitMs: number | undefined;
  /** Whether the workspace of the job uses more than its share. */
  isAboveShare: boolean;
  /** Whether the task is long-running and its step has no margin in the number of unavailable tasks. */
  isAvailabilityAtRisk: boolean;
  isSuspected: boolean;
  /** Whether an earlier leader may have let the task wait. */
  isTakenOver: boolean;
  /** Run time on a near worker. */
  runTime: RunTimeInterval;
  /** Time by which a near start may be delayed for the job to meet its objective, in ms; negative if it can't. */
  slackMs: number;
  /** Time since the task could first have started elsewhere, in ms. */
  waitedMs: number;
}

/** Whether a task waits for a near worker, or why it starts elsewhere. */
export type NearPlaceDecision = { cause: FarCause; waits: false } | { limitMs: number; waits: true };

/** Decides whether a task that could start elsewhere waits for a near worker. */
export interface NearPlaceRule {
  decide(inputs: NearPlaceInputs): NearPlaceDecision;
}

/** Longest wait for a near worker, in ms: a task for which there is room must not wait for 3 s. */
export const MAX_NEAR_WAIT_MS = 1500;

/** Longest time between two assignments of the tasks of a pool, in ms. */
const ASSIGNMENT_INTERVAL_MS = 100;

/**
 * Lets a task wait while the expected wait is shorter than what a near place gains, in total no longer than that gain
 * and `MAX_NEAR_WAIT_MS`.
 */
export class BoundedNearPlaceWait implements NearPlaceRule {
  /**
   * @param remoteFactor Run time on another rack as a multiple of that on a near worker.
   */
  constructor(private readonly remoteFactor: number) {}

  decide(inputs: NearPlaceInputs): NearPlaceDecision {
    const { expectedWaitMs, runTime, waitedMs } = inputs;
    const barred = findBar(inputs);
    if (barred !== undefined) {
      return startElsewhere(barred);
    }
    if (expectedWaitMs === undefined) {
      return startElsewhere(FAR_CAUSE.noNearWorker);
    }
    const limitMs = Math.min(this.#extraMs(runTime.lowMs), MAX_NEAR_WAIT_MS);
    if (waitedMs + ASSIGNMENT_INTERVAL_MS > limitMs) {
      return startElsewhere(waitedMs > 0 ? FAR_CAUSE.limit : FAR_CAUSE.waitTooLong);
    }
    if (waitedMs + expectedWaitMs >= limitMs) {
      return startElsewhere(FAR_CAUSE.waitTooLong);
    }
    return this.#wouldMissObjective(inputs, expectedWaitMs)
      ? startElsewhere(FAR_CAUSE.objective)
      : { limitMs, waits: true };
  }

  // Waiting is judged by the upper ends of the wait and of the run time, the start elsewhere by what is expected.
  #wouldMissObjective({ runTime, slackMs }: NearPlaceInputs, expectedWaitMs: number): boolean {
    const { expectedMs, highMs } = runTime;
    return this.#extraMs(expectedMs) <= slackMs && expectedWaitMs + highMs - expectedMs > slackMs;
  }

  #extraMs(runMs: number): number {
    return (this.remoteFactor - 1) * runMs;
  }
}

function findBar(inputs: NearPlaceInputs): FarCause | undefined {
  if (inputs.isSuspected) {
    return FAR_CAUSE.suspected;
  }
  if (inputs.isAboveShare) {
    return FAR_CAUSE.aboveShare;
  }
  if (inputs.isTakenOver) {
    return FAR_CAUSE.takenOver;
  }
  return inputs.isAvailabilityAtRisk ? FAR_CAUSE.availability : undefined;
}

function startElsewhere(cause: FarCause): NearPlaceDecision {
  return { cause, waits: false };
}
