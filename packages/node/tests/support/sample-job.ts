import { job, step, worker } from '../../../core/tests/jobs/support/jobs';

/** Worker in the pool `p`. */
export const WORKER = worker('w1');

/** Job with one step of two tasks. */
export const JOB = job('00000000000000a1', [step({ count: 2 })]);
