/** Demand of one task on a worker. */
export interface Demand {
  /** Processor time, in thousandths of a core. */
  cpuMilli: number;
  gpus: number;
  memoryMb: number;
}

/** One step of a job: a number of tasks with the same demand. */
export interface StepSpec {
  /** Numbers of the steps that must be done before. */
  after: number[];
  /** The tasks save checkpoints, from which another run can continue. */
  checkpointable: boolean;
  /** Number of tasks. */
  count: number;
  demand: Demand;
  /** Rough estimate of a task's run time, in ms. */
  estimatedMs: number;
  /** The tasks use the processor time that others leave; their `cpuMilli` is not reserved. */
  fillsIdle: boolean;
  /** The tasks work only together. */
  gang: boolean;
  /** Name of what the tasks run; tasks of one image behave alike. */
  image: string;
  /** The tasks run until the job is cancelled. */
  longRunning: boolean;
  /** Most tasks of the step on one worker; 0 means no limit. */
  maxPerWorker: number;
  /** Tasks that may be unavailable at once through our orders; 0 means no limit. */
  mayMiss: number;
  /** Rack that holds the data; empty when there is none. */
  preferredRack: string;
  /** The tasks are slower when they run on more than one rack. */
  rackSensitive: boolean;
  /** Label that a worker must have; empty when there is none. */
  requiredLabel: string;
  /** Copies of a task may run at the same time. */
  speculative: boolean;
  /** Limit for the tail of the tasks' own response times, in ms; 0 means none. */
  tailTargetMs: number;
}

/** Times at which the steps of a job run. */
export interface Schedule {
  count: number;
  /** Wall clock of the first occurrence, in ms since the epoch. */
  firstAt: number;
  intervalMs: number;
}

/** What a caller asks for. */
export interface JobSpec {
  /** Text that the workers receive with each task. */
  body: string;
  /** Undefined for a job that runs once, at once. */
  schedule?: Schedule;
  steps: StepSpec[];
}

/** A job that has been accepted. */
export interface Job {
  /** Wall clock at acceptance, in ms since the epoch. */
  acceptedAt: number;
  id: string;
  /** Pool that runs the tasks, as configured at acceptance. */
  pool: string;
  /** Queue that the job came through. */
  queue: string;
  spec: JobSpec;
}

/** States of a job, as callers see them. */
export const JOB_STATE = {
  cancelled: 'cancelled',
  completed: 'completed',
  failed: 'failed',
  queued: 'queued',
  running: 'running',
} as const;

/** State of a job. */
export type JobState = (typeof JOB_STATE)[keyof typeof JOB_STATE];

/** Problems of a job that can't be accepted; empty when there are none. */
export function jobProblems(spec: JobSpec): string[] {
  const problems = spec.steps.flatMap(stepProblems);
  if (spec.steps.length === 0) {
    problems.push('a job needs at least one step');
  }
  return problems;
}

function stepProblems(step: StepSpec, number: number): string[] {
  const problems: string[] = [];
  if (step.count < 1) {
    problems.push(`step ${number} has no task`);
  }
  if (step.after.some((before) => before < 0 || before >= number)) {
    problems.push(`step ${number} waits for a step that is not before it`);
  }
  return problems;
}
