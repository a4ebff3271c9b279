import type { Chart } from '../charts/chart';

/** State of the circuit breaker of a target. */
export type BreakerState = 'closed' | 'half-open' | 'open';

/** Event of a circuit breaker. */
export type BreakerEvent = 'cooled' | 'failed' | 'limit-reached' | 'succeeded';

/** Circuit breaker: opens at a number of consecutive failures, probes after a pause. */
export const breakerChart: Chart<BreakerState, BreakerEvent> = {
  initial: 'closed',
  states: {
    closed: { 'limit-reached': 'open' },
    'half-open': { failed: 'open', succeeded: 'closed' },
    open: { cooled: 'half-open', succeeded: 'closed' },
  },
};
