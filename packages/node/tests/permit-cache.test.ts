import type { QueueConfig, StepRun } from '@sequoiaquay/core/jobs';
import type { Logger } from '@sequoiaquay/runtime';
import { JobRun, Worker } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { AdviceRequest, AdviceService } from '../src/ports/advice-service';
import { job, step } from '../../core/tests/jobs/support/jobs';
import { PermitCache } from '../src/permit-cache';
import { quietLog } from './support/quiet-log';
import { createRecordingLog } from './support/recording-log';
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

/** Advice service that grants a permit to some workers and has room for a number of them in a request. */
class SelectiveAdviceService implements AdviceService {
  readonly requests: AdviceRequest[] = [];

  constructor(
    private readonly allowed: ReadonlySet<string>,
    private readonly validityMs = 60_000,
  ) {}

  requestAdvice(req: AdviceRequest): ReturnType<AdviceService['requestAdvice']> {
    this.requests.push(req);
    const allowed = req.workerIds.filter((id) => this.allowed.has(id));
    return req.workerIds.length > 100
      ? errAsync('too many workers')
      : okAsync({
          permits: new Map(allowed.map((id) => [id, `permit-${this.requests.length}`])),
          validityMs: this.validityMs,
        });
  }
}

const workers = ['w1', 'w2'].map((id) => new Worker({ ...WORKER, id }, 0));

function createWorkers(count: number): Worker[] {
  return Array.from({ length: count }, (_, index) => new Worker({ ...WORKER, id: `w${index}` }, 0));
}

/**
 * Advice service that handles the requests of a caller in turn, each in 100 ms, also those that the caller has given
 * up, and refuses a request while 32 wait.
 */
class BusyAdviceService implements AdviceService {
  mostPending = 0;
  readonly requests: AdviceRequest[] = [];
  #pending = 0;
  #turn: Promise<unknown> = Promise.resolve();

  requestAdvice(req: AdviceRequest): ReturnType<AdviceService['requestAdvice']> {
    this.requests.push(req);
    if (this.#pending > 32) {
      return errAsync('status 429');
    }
    this.#pending += 1;
    this.mostPending = Math.max(this.mostPending, this.#pending);
    this.#turn = this.#turn
      .then(() => delay(100))
      .then(() => {
        this.#pending -= 1;
      });
    const answer = this.#turn.then(() => ({
      permits: new Map(req.workerIds.map((id) => [id, 'p'])),
      validityMs: 30_000,
    }));
    const timeout = delay(req.timeoutMs).then(() => Promise.reject(new Error('timeout')));
    return ResultAsync.fromPromise(Promise.race([answer, timeout]), String);
  }
}

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function createSteps(count: number): StepRun[] {
  return Array.from({ length: count }, (_, index) => {
    const id = index.toString(16).padStart(16, '0');
    return new JobRun(job(id, [step()])).occurrences.flatMap(({ steps }) => steps);
  }).flat();
}

function createCache(
  service: AdviceService | undefined,
  log: Logger = quietLog,
): {
  cache: PermitCache;
  settledRequests: () => number;
  step: StepRun;
} {
  let settled = 0;
  const onSettled = (): void => {
    settled += 1;
  };
  const { signal } = new AbortController();
  const cache = new PermitCache(service, onSettled, new SystemTimerService(), log, signal);
  const [sample] = new JobRun(JOB).occurrences.flatMap((occurrence) => occurrence.steps);
  if (sample === undefined) {
    throw new Error('the sample job has no step');
  }
  return { cache, settledRequests: () => settled, step: sample };
}

// Guards against start orders that workers refuse because the permit is missing or has expired, and against
// a queue that is never scheduled again after a failed request.
describe('PermitCache', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('allows no worker until the service answers, then only workers with a permit, with one request', async () => {
    const service = new FirstWorkerAdviceService();
    const { cache, settledRequests, step } = createCache(service);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(1);
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
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(1);
    await vi.advanceTimersByTimeAsync(VALIDITY_MS / 2);
    expect(cache.allowedWorkers(QUEUE, step, workers)?.size).toBe(1);
    await vi.advanceTimersByTimeAsync(VALIDITY_MS / 4);
    expect(cache.allowedWorkers(QUEUE, step, workers)?.size).toBe(0);
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(2);
    expect(cache.permitFor(`${JOB.id}.0.0.0`, 'w1')).toBe('permit-2');
  });

  it('sends another request after a failed one', async () => {
    const service = new FirstWorkerAdviceService();
    service.failures = 1;
    const { cache, settledRequests, step } = createCache(service);
    cache.allowedWorkers(QUEUE, step, workers);
    await vi.advanceTimersByTimeAsync(250);
    expect(settledRequests()).toBe(1);
    cache.allowedWorkers(QUEUE, step, workers);
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(2);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set(['w1']));
  });

  it('logs few lines while the service fails, and goes on when it answers again', async () => {
    const service = new FirstWorkerAdviceService();
    service.failures = 64;
    const lines: Record<string, unknown>[] = [];
    const { cache, step } = createCache(service, createRecordingLog(lines));
    for (let request = 0; request < 65; request += 1) {
      cache.allowedWorkers(QUEUE, step, workers);
      await vi.advanceTimersByTimeAsync(200);
    }
    expect(lines.filter(({ msg }) => msg === 'advice failed').map(({ failures }) => failures)).toEqual([
      1, 2, 4, 8, 16, 32, 64,
    ]);
    expect(service.requests).toHaveLength(65);
  });

  it('asks about all workers if there are more than fit into a request', async () => {
    const service = new SelectiveAdviceService(new Set(['w3', 'w240']));
    const { cache, step } = createCache(service);
    const many = createWorkers(250);
    for (let request = 0; request < 4; request += 1) {
      cache.allowedWorkers(QUEUE, step, many);
      await vi.advanceTimersByTimeAsync(1);
    }
    expect(cache.allowedWorkers(QUEUE, step, many)).toEqual(new Set(['w3', 'w240']));
    expect(service.requests.map(({ workerIds }) => workerIds.length)).toEqual([100, 100, 50]);
  });

  it('asks about workers that come after an answer, and about none twice while the answer is valid', async () => {
    const service = new SelectiveAdviceService(new Set(['w0', 'w2']));
    const { cache, settledRequests, step } = createCache(service);
    const [first, second, third] = createWorkers(3);
    cache.allowedWorkers(
      QUEUE,
      step,
      [first, second].flatMap((worker) => worker ?? []),
    );
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(1);
    const all = [first, second, third].flatMap((worker) => worker ?? []);
    expect(cache.allowedWorkers(QUEUE, step, all)).toEqual(new Set(['w0']));
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(2);
    expect(cache.allowedWorkers(QUEUE, step, all)).toEqual(new Set(['w0', 'w2']));
    expect(service.requests.map(({ workerIds }) => workerIds)).toEqual([['w0', 'w1'], ['w2']]);
  });

  it('does not use a permit again that its worker refused, and asks for another', async () => {
    const service = new SelectiveAdviceService(new Set(['w0', 'w1']));
    const { cache, settledRequests, step: sample } = createCache(service);
    const both = createWorkers(2);
    cache.allowedWorkers(QUEUE, sample, both);
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(1);
    cache.onPermitRefused(`${JOB.id}.0.0.0`, 'w0');
    expect(cache.permitFor(`${JOB.id}.0.0.0`, 'w0')).toBe('');
    expect(cache.allowedWorkers(QUEUE, sample, both)).toEqual(new Set(['w1']));
    await vi.advanceTimersByTimeAsync(600);
    cache.allowedWorkers(QUEUE, sample, both);
    await vi.advanceTimersByTimeAsync(1);
    expect(cache.allowedWorkers(QUEUE, sample, both)?.size).toBe(2);
    expect(service.requests.map(({ workerIds }) => workerIds)).toEqual([['w0', 'w1'], ['w0']]);
    expect(cache.permitFor(`${JOB.id}.0.0.0`, 'w0')).toBe('permit-2');
  });

  it('asks again about a worker that has restarted, whose permit is void', async () => {
    const service = new SelectiveAdviceService(new Set(['w0']));
    const { cache, settledRequests, step } = createCache(service);
    const [worker] = createWorkers(1);
    if (worker === undefined) {
      throw new Error('there is no worker');
    }
    cache.allowedWorkers(QUEUE, step, [worker]);
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(1);
    worker.info = { ...worker.info, bornAt: worker.info.bornAt + 1 };
    expect(cache.allowedWorkers(QUEUE, step, [worker])).toEqual(new Set());
    await vi.advanceTimersByTimeAsync(1);
    expect(settledRequests()).toBe(2);
    expect(cache.allowedWorkers(QUEUE, step, [worker])).toEqual(new Set(['w0']));
    expect(cache.permitFor(`${JOB.id}.0.0.0`, 'w0')).toBe('permit-2');
  });

  describe('with many steps', () => {
    it('gets an answer for each of many steps from a service that is slow', async () => {
      const service = new BusyAdviceService();
      const { cache } = createCache(service);
      const steps = createSteps(80);
      for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
        steps.forEach((item) => cache.allowedWorkers(QUEUE, item, workers));
        await vi.advanceTimersByTimeAsync(100);
      }
      const answered = steps.filter((item) => cache.allowedWorkers(QUEUE, item, workers)?.size === 2);
      expect(answered).toHaveLength(80);
      expect(service.mostPending).toBe(1);
      expect(service.requests).toHaveLength(80);
    });

    it('forgets the answers for steps that no longer wait', async () => {
      const { cache } = createCache(new SelectiveAdviceService(new Set(['w1']), 1000));
      for (const item of createSteps(50)) {
        cache.allowedWorkers(QUEUE, item, workers);
        await vi.advanceTimersByTimeAsync(100);
      }
      expect(cache.size).toBeLessThanOrEqual(11);
    });

    it('asks for nothing on behalf of a job that has ended', async () => {
      const service = new SelectiveAdviceService(new Set(['w1']));
      const { cache } = createCache(service);
      const [first, second] = createSteps(2);
      [first, second].forEach((item) => item !== undefined && cache.allowedWorkers(QUEUE, item, workers));
      if (second !== undefined) {
        second.job.hasEnded = true;
      }
      await vi.advanceTimersByTimeAsync(100);
      expect(service.requests).toHaveLength(1);
    });
  });

  it('allows no worker without an advice service', () => {
    const { cache, step } = createCache(undefined);
    expect(cache.allowedWorkers(QUEUE, step, workers)).toEqual(new Set());
  });
});
