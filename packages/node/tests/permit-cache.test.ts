import type { QueueConfig, StepRun } from '@sequoiaquay/core/jobs';
import { JobRun, Worker } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { AdviceRequest, AdviceService } from '../src/ports/advice-service';
import { PermitCache } from '../src/permit-cache';
import { quietLog } from './support/quiet-log';
import { JOB, WORKER } from './support/sample-job';

const VALIDITY_MS = 100;

const QUEUE: QueueConfig = {
  advice: { decisionMs: 10, perWorkerMs: 1, validityMs: VALIDITY_MS },
  host: 'h',
  maxAttempts: 2,
  name: 'quick',
  pathPrefix: '/q/',
  pool: 'p',
  priority: 0,
  stretch: 1,
  targetMs: 0,
  timeoutMs: 1000,
};

/** Advice service that grants a permit to the first worker of each request. */
class FirstWorkerAdviceService implements AdviceService {
  readonly requests: AdviceRequest[] = [];
  failures = 0;

  requestAdvice(req: AdviceRequest): ReturnType<AdviceService['requestAdvice']> {
    this.requests.push(req);
    if (this.requests.length <= this.failures) {
      return errAsync('no answer');
    }
    const permits = new Map([[req.workerIds[0] ?? '', `permit-${this.requests.length}`]]);
    return okAsync({ permits, validityMs: VALIDITY_MS });
  }
}

const workers = ['w1', 'w2'].map((id) => new Worker({ ...WORKER, id }, 0));

function createCache(service: AdviceService | undefined): {
  cache: PermitCache;
  settledRequests: () => number;
  step: StepRun;
} {
  let settled = 0;
  const onSettled = (): void => {
    settled += 1;
  };
  const { signal } = new AbortController();
  const cache = new PermitCache(service, onSettled, new SystemTimerService(), quietLog, signal);
  const [step] = new JobRun(JOB).occurrences.flatMap((occurrence) => occurrence.steps);
  if (step === undefined) {
    throw new Error('the sample job has no step');
  }
  return { cache, settledRequests: () => settled, step };
}

// Guards against start orders that workers refuse because the permit is missing or has expired, and against
// a queue that is never scheduled again after a failed request.
describe('PermitCache', () => {
  it('allows no worker until the service answers, then only workers with a permit, with one request', async () => {
    const service = new FirstWorkerAdviceService();
    const { cache, settledRequests, step } = createCache(service);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
    await expect.poll(settledRequests).toBe(1);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set(['w1']));
    expect(service.requests.map(({ step: name, workerIds }) => [name, workerIds])).toEqual([
      [`${JOB.id}.0.0`, ['w1', 'w2']],
    ]);
    expect(cache.permitFor(`${JOB.id}.0.0.1`, 'w1')).toBe('permit-1');
    expect(cache.permitFor(`${JOB.id}.0.0.1`, 'w2')).toBe('');
  });

  it('requests new permits before the cached ones expire', async () => {
    const service = new FirstWorkerAdviceService();
    const { cache, settledRequests, step } = createCache(service);
    cache.allowedWorkers(QUEUE, step, workers);
    await expect.poll(settledRequests).toBe(1);
    await expect.poll(() => cache.allowedWorkers(QUEUE, step, workers)?.size, { interval: 10 }).toBe(0);
    await expect.poll(settledRequests).toBe(2);
    expect(cache.permitFor(`${JOB.id}.0.0.0`, 'w1')).toBe('permit-2');
  });

  it('sends another request after a failed one', async () => {
    const service = new FirstWorkerAdviceService();
    service.failures = 1;
    const { cache, settledRequests, step } = createCache(service);
    cache.allowedWorkers(QUEUE, step, workers);
    await expect.poll(settledRequests).toBe(1);
    cache.allowedWorkers(QUEUE, step, workers);
    await expect.poll(settledRequests).toBe(2);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set(['w1']));
  });

  it('allows no worker without an advice service', () => {
    const { cache, step } = createCache(undefined);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
  });
});
