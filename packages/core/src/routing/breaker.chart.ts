import type { Chart } from '../charts/chart';

/** State of the circuit breaker of a target. */
export type BreakerState = 'closed' | 'half-open' | 'open';

/** Event of a circuit breaker; `cooled` means that the cooldown has passed. */
export type BreakerEvent = 'cooled' | 'failed' | 'limit-reached' | 'succeeded';

/** Circuit breaker: opens after a number of consecutive failures and becomes half-open after a cooldown. */
export const breakerChart: Chart<BreakerState, BreakerEvent> = {
  initial: 'closed',
  states: {
    closed: { 'limit-reached': 'open' },
    'half-open': { failed: 'open', succeeded: 'closed' },
    open: { cooled: 'half-open', succeeded: 'closed' },
  },
};
