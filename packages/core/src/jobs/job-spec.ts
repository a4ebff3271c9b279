import type { Demand } from './demand';
import type { JobPolicy } from './fleet-config';

/** Step of a job: a number of tasks with the same resource demand. */
export interface StepSpec {
  /** Indexes of the steps that must be done before this one starts. */
  after: number[];
  /** Whether the tasks save checkpoints from which another run can continue. */
  checkpointable: boolean;
  /** Number of tasks. */
  count: number;
  demand: Demand;
  /** Declared estimate of a task's run time, in ms; it may be far off. */
  estimatedMs: number;
  /** Whether the tasks are best-effort: they use idle processor time, and their `cpuMilli` is not reserved. */
  fillsIdle: boolean;
  /** Whether the tasks form a gang: all of them run at the same time or none does. */
  gang: boolean;
  /** Name of the image that the tasks run; tasks of the same image behave alike. */
  image: string;
  /** Whether the tasks run until the job is cancelled. */
  longRunning: boolean;
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  maxPerWorker: number;
  /** Maximum number of tasks that orders of the leader may make unavailable at once; 0 means no limit. */
  mayMiss: number;
  /** Rack that holds the data of the tasks; empty if there is none. */
  preferredRack: string;
  /** Whether the tasks are slower when they are spread over several racks. */
  rackSensitive: boolean;
  /** Label that a worker must have to run the tasks; empty if none is required. */
  requiredLabel: string;
  /** Whether several copies of a task may run at the same time. */
  speculative: boolean;
  /** Target for the tail latency of the requests that the tasks serve, in ms; 0 means none. */
  tailTargetMs: number;
}

/** Schedule of a recurring job. */
export interface Schedule {
  count: number;
  /** Wall clock time of the first occurrence, in ms since the epoch. */
  firstAt: number;
  intervalMs: number;
}

/** Job as specified by a caller. */
export interface JobSpec {
  /** Text that is passed to the workers with each task. */
  body: string;
  /** Undefined for a job that runs once, immediately. */
  schedule?: Schedule;
  steps: StepSpec[];
}

/** Accepted job. */
export interface Job {
  /** Wall clock time of the acceptance, in ms since the epoch. */
  acceptedAt: number;
  id: string;
  /** What the queue determined at the acceptance; undefined in records of earlier versions. */
  policy?: JobPolicy | undefined;
  /** Pool that runs the tasks, as configured when the job was accepted. */
  pool: string;
  /** Name of the queue that accepted the job. */
  queue: string;
  spec: JobSpec;
  /** Name of the workspace whose key the caller used; undefined without a key. */
  workspace?: string | undefined;
}

/** States of a job, as reported to callers. */
export const JOB_STATE = {
  cancelled: 'cancelled',
  completed: 'completed',
  failed: 'failed',
  queued: 'queued',
  running: 'running',
} as const;

/** State of a job, as reported to callers. */
export type JobState = (typeof JOB_STATE)[keyof typeof JOB_STATE];

/**
 * Most tasks of a job, over all its occurrences. The leader keeps each of them in memory, and every node that
 * takes over does so again.
 */
const MAX_JOB_TASKS = 50_000;

/**
 * Most steps of a job. The record of a step takes over 300 bytes, so that the record of a job with more of them is
 * larger than the store of any site takes.
 */
export const MAX_JOB_STEPS = 1000;

/** Most problems of steps that are named. */
const MAX_NAMED_PROBLEMS = 3;

/** Memory of a job without its text, steps and occurrences, in bytes. */
const JOB_BYTES = 1000;

/** Memory of a step, in bytes. */
const STEP_BYTES = 500;

/** Copies of a job that is being stored: the decoded one, its record, and the call to the store. */
const SUBMISSION_COPIES = 3;

const BEYOND_LATIN_1 = /[\u0100-\u{10ffff}]/u;

/** Memory that the leader needs for each step of an occurrence, in bytes. */
const STEP_RUN_BYTES = 250;

/** Memory of the index of a step in the list of another one, in bytes. */
const STEP_INDEX_BYTES = 8;

/** Returns about how much memory an accepted job takes on a node that leads until it has ended, in bytes. */
export function estimateJobBytes(spec: JobSpec): number {
  const occurrences = spec.schedule?.count ?? 1;
  return estimateSpecBytes(spec) + spec.steps.length * occurrences * STEP_RUN_BYTES;
}

/** Returns about how much memory a job takes on the node that stores it, until the store has answered, in bytes. */
export function estimateSubmissionBytes(spec: JobSpec): number {
  return SUBMISSION_COPIES * estimateSpecBytes(spec);
}

function estimateSpecBytes({ body, steps }: JobSpec): number {
  return steps.reduce((sum, step) => sum + estimateStepBytes(step), JOB_BYTES + textBytes(body));
}

function estimateStepBytes({ after, image, preferredRack, requiredLabel }: StepSpec): number {
  const texts = textBytes(image) + textBytes(preferredRack) + textBytes(requiredLabel);
  return STEP_BYTES + after.length * STEP_INDEX_BYTES + texts;
}

// A string with a character beyond Latin-1 takes two bytes for each of its characters.
function textBytes(text: string): number {
  return BEYOND_LATIN_1.test(text) ? 2 * text.length : text.length;
}

/** Returns the first few reasons why a job cannot be accepted; empty if the job is valid. */
export function findJobProblems({ schedule, steps }: JobSpec): string[] {
  if (steps.length === 0) {
    return ['a job needs at least one step'];
  }
  if (steps.length > MAX_JOB_STEPS) {
    return [`a job may have ${MAX_JOB_STEPS} steps, not ${steps.length}`];
  }
  const problems = steps.flatMap(findStepProblems).slice(0, MAX_NAMED_PROBLEMS);
  const taskCount = steps.reduce((sum, step) => sum + step.count, 0) * (schedule?.count ?? 1);
  if (taskCount > MAX_JOB_TASKS) {
    problems.push(`a job may have ${MAX_JOB_TASKS} tasks in all its runs, not ${taskCount}`);
  }
  return problems;
}

function findStepProblems(step: StepSpec, stepIndex: number): string[] {
  const problems: string[] = [];
  if (step.count < 1) {
    problems.push(`step ${stepIndex} has no task`);
  }
  if (step.after.some((index) => index < 0 || index >= stepIndex)) {
    problems.push(`step ${stepIndex} waits for a step that is not before it`);
  }
  return problems;
}
