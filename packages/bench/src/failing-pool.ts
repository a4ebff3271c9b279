import { backoffMs, RetryBudget } from '@sequoiaquay/core';
import { seededRandom } from '@sequoiaquay/stand-ins';
import { EventHeap } from './event-heap';

/** Shape of the experiment with a pool that fails for a time. Times in ms. */
export interface FailingPoolShape {
  budget: boolean;
  /** Share of the tries that fail during the failure, from 0 to 1. */
  failing: number;
  seed: number;
}

/** What came of the requests that arrived during the failure. */
export interface FailingPoolResult {
  answeredShare: number;
  retriesPerRequest: number;
}

/** Tries of one request, as in the dispatcher. */
const MAX_TRIES = 3;
const REQUESTS_PER_SECOND = 200;
const FAILURE = { from: 20_000, until: 30_000 } as const;
const END_MS = 40_000;

interface Try {
  arrivedAt: number;
  attempt: number;
  id: number;
}

/** Sends requests to a pool that fails for ten seconds and counts retries. */
export function runFailingPool(shape: FailingPoolShape): FailingPoolResult {
  const random = seededRandom(shape.seed);
  const budget = new RetryBudget();
  const tries = new EventHeap<Try>();
  for (let at = 0, id = 0; at < END_MS; id += 1) {
    at += (-Math.log(1 - random()) * 1000) / REQUESTS_PER_SECOND;
    tries.push(at, { arrivedAt: at, attempt: 0, id });
  }
  const counts = { answered: 0, requests: 0, retries: 0 };
  while (tries.nextAt < Infinity) {
    const now = tries.nextAt;
    const current = tries.pop();
    if (current === undefined) {
      break;
    }
    const { arrivedAt, attempt, id } = current;
    const counted = arrivedAt >= FAILURE.from && arrivedAt < FAILURE.until ? 1 : 0;
    counts.requests += attempt === 0 ? counted : 0;
    const fails = now >= FAILURE.from && now < FAILURE.until && random() < shape.failing;
    if (!fails) {
      budget.recordSuccess();
      counts.answered += counted;
    } else if (attempt + 1 < MAX_TRIES && (!shape.budget || budget.tryConsume(now))) {
      counts.retries += counted;
      tries.push(now + backoffMs(attempt + 1, String(id)), { arrivedAt, attempt: attempt + 1, id });
    }
  }
  return {
    answeredShare: counts.answered / counts.requests,
    retriesPerRequest: counts.retries / counts.requests,
  };
}
