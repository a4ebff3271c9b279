import type {
  AnswerClock,
  FleetConfig,
  Job,
  RunEnd,
  SchedulerSettings,
  StepSpec,
  Worker,
  WorkerInfo,
  WorkerReport,
} from '../../../src/jobs';

/** Returns a step with defaults for the omitted properties. */
export function step(parts: Partial<StepSpec> = {}): StepSpec {
  return {
    after: [],
    checkpointable: false,
    count: 1,
    demand: { cpuMilli: 1000, gpus: 0, memoryMb: 100 },
    estimatedMs: 500,
    fillsIdle: false,
    gang: false,
    image: '',
    longRunning: false,
    maxPerWorker: 0,
    mayMiss: 0,
    preferredRack: '',
    rackSensitive: false,
    requiredLabel: '',
    speculative: false,
    tailTargetMs: 0,
    ...parts,
  };
}

/** Returns a job of the queue `quick`. */
export function job(id: string, steps: StepSpec[]): Job {
  return { acceptedAt: 0, id, pool: 'p', queue: 'quick', spec: { body: 'work', steps } };
}

/** Returns the registry entry of a worker of the pool `p` with 4 cores. */
export function worker(id: string, parts: Partial<WorkerInfo> = {}): WorkerInfo {
  return {
    address: `${id}:1`,
    bornAt: 1,
    capacity: { cpuMilli: 4000, gpus: 0, memoryMb: 1000 },
    draining: false,
    id,
    labels: [],
    pool: 'p',
    rack: 'r1',
    zone: 'z1',
    ...parts,
  };
}

/** Returns a configuration with the queue `quick` on the pool `p`. */
export function config(): FleetConfig {
  return {
    limits: { headerTimeoutMs: 1000, idleTimeoutMs: 1000, maxBodyBytes: 1000, maxHeaderBytes: 1000 },
    pools: [{ enforcesCapacity: true, name: 'p', spare: false }],
    queues: [
      {
        advice: undefined,
        host: 'h',
        maxAttempts: 2,
        name: 'quick',
        pathPrefix: '/q/',
        pool: 'p',
        priority: 0,
        stretch: 2,
        targetMs: 500,
        timeoutMs: 3000,
      },
    ],
    version: 1,
  };
}

/** Returns a worker report with the given running and ended runs. */
export function report(
  running: [task: string, run: number][] = [],
  ended: [number: number, task: string, run: number, end: RunEnd][] = [],
  bornAt = 1,
): WorkerReport {
  return {
    bornAt,
    clockMs: 1000,
    ended: ended.map(([number, task, run, end]) => ({ checkpoint: '', end, number, run, task })),
    running: running.map(([task, run]) => ({ checkpoint: '', load: 0, percent: 10, run, task })),
  };
}

/** Settings of a scheduler without leases of earlier terms. */
export const SCHEDULER_SETTINGS: SchedulerSettings = {
  earlierLeasesEndAt: 0,
  earlierLongestLeasesEndAt: 0,
  maxLeaseMs: 10_000,
  maxRecordBytes: 262_144,
  refusedPauseMs: 1000,
  roomPauseMs: 150,
  setAsideAfter: 3,
  setAsideMs: 4000,
};

/** Returns the reading of the clock in the answer of the known incarnation of a worker at a monotonic time in ms. */
export function answerClock(target: Worker, now: number): AnswerClock | undefined {
  const expected = target.proofAt(now);
  return expected && { expected, readingMs: expected.minClockMs };
}
