import { backoffMs, RetryBudget } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import { EventHeap } from './event-heap';

/** Options of the simulation of a pool that fails for a period. */
export interface FailingPoolOptions {
  /** Share of the attempts that fail during the failure, from 0 to 1. */
  failureShare: number;
  seed: number;
  /** Whether retries are limited by a `RetryBudget`. */
  usesRetryBudget: boolean;
}

/** Outcome of the requests that arrived during the failure. */
export interface FailingPoolResult {
  /** Share of the requests that were answered, from 0 to 1. */
  answeredShare: number;
  retriesPerRequest: number;
}

/** Maximum number of attempts per request, as in the dispatcher. */
const MAX_ATTEMPTS = 3;
const REQUESTS_PER_SECOND = 200;
const FAILURE_PERIOD_MS = { from: 20_000, until: 30_000 } as const;
const ARRIVALS_END_MS = 40_000;

interface Attempt {
  arrivedAt: number;
  attempt: number;
  id: number;
}

/** Simulates requests to a pool that fails for 10 s and measures retries and answers. */
export function runFailingPool(options: FailingPoolOptions): FailingPoolResult {
  const random = seededRandom(options.seed);
  const budget = new RetryBudget();
  const attempts = new EventHeap<Attempt>();
  for (let at = 0, id = 0; at < ARRIVALS_END_MS; id += 1) {
    at += (-Math.log(1 - random()) * 1000) / REQUESTS_PER_SECOND;
    attempts.push(at, { arrivedAt: at, attempt: 0, id });
  }
  const counts = { answered: 0, requests: 0, retries: 0 };
  while (attempts.nextAt < Infinity) {
    const now = attempts.nextAt;
    const current = attempts.pop();
    if (current === undefined) {
      break;
    }
    const { arrivedAt, attempt, id } = current;
    const increment = arrivedAt >= FAILURE_PERIOD_MS.from && arrivedAt < FAILURE_PERIOD_MS.until ? 1 : 0;
    counts.requests += attempt === 0 ? increment : 0;
    const fails =
      now >= FAILURE_PERIOD_MS.from && now < FAILURE_PERIOD_MS.until && random() < options.failureShare;
    if (!fails) {
      budget.recordSuccess();
      counts.answered += increment;
    } else if (attempt + 1 < MAX_ATTEMPTS && (!options.usesRetryBudget || budget.tryConsume(now))) {
      counts.retries += increment;
      attempts.push(now + backoffMs(attempt + 1, String(id)), { arrivedAt, attempt: attempt + 1, id });
    }
  }
  return {
    answeredShare: counts.answered / counts.requests,
    retriesPerRequest: counts.retries / counts.requests,
  };
}
