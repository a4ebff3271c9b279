import type { Job, WorkerInfo } from '@sequoiaquay/core/jobs';

/** A worker of the pool `p`. */
export const WORKER: WorkerInfo = {
  address: 'w1:1',
  bornAt: 1,
  capacity: { cpuMilli: 4000, gpus: 0, memoryMb: 1000 },
  draining: false,
  id: 'w1',
  labels: [],
  pool: 'p',
  rack: 'r1',
  zone: 'z1',
};

/** A job of two tasks. */
export const JOB: Job = {
  acceptedAt: 0,
  id: '00000000000000a1',
  pool: 'p',
  queue: 'quick',
  spec: {
    body: 'work',
    steps: [
      {
        after: [],
        checkpointable: false,
        count: 2,
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
      },
    ],
  },
};
