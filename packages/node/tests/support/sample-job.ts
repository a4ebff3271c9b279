import { job, step, worker } from '../../../core/tests/jobs/support/jobs';

/** A worker of the pool `p`. */
export const WORKER = worker('w1');

/** A job of two tasks. */
export const JOB = job('00000000000000a1', [step({ count: 2 })]);
