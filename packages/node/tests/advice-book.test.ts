import type { QueueConfig, StepRun } from '@sequoiaquay/core/jobs';
import { JobRun, Worker } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { AdviceCall, AdviceService } from '../src/ports/advice-service';
import { AdviceBook } from '../src/advice-book';
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

/** A service that allows the first worker it is asked about. */
class FirstWorkerOnly implements AdviceService {
  readonly calls: AdviceCall[] = [];
  failures = 0;

  ask(call: AdviceCall): ReturnType<AdviceService['ask']> {
    this.calls.push(call);
    if (this.calls.length <= this.failures) {
      return errAsync('no answer');
    }
    const permits = new Map([[call.workerIds[0] ?? '', `permit-${this.calls.length}`]]);
    return okAsync({ permits, validityMs: VALIDITY_MS });
  }
}

const workers = ['w1', 'w2'].map((id) => new Worker({ ...WORKER, id }, 0));

function make(service: AdviceService | undefined): { book: AdviceBook; heard: () => number; step: StepRun } {
  let heard = 0;
  const onAdvice = (): void => {
    heard += 1;
  };
  const { signal } = new AbortController();
  const book = new AdviceBook(service, onAdvice, new SystemTimerService(), quietLog, signal);
  const [step] = new JobRun(JOB).occurrences.flatMap((occurrence) => occurrence.steps);
  if (step === undefined) {
    throw new Error('the sample job has no step');
  }
  return { book, heard: () => heard, step };
}

// Guards against starts that workers refuse for want of a permit, and against a queue that stands still.
describe('AdviceBook', () => {
  it('allows no worker until the service has answered, then those with a permit, and asks once', async () => {
    const service = new FirstWorkerOnly();
    const { book, heard, step } = make(service);
    expect(book.allowed(QUEUE, step, workers)).toEqual(new Set());
    expect(book.allowed(QUEUE, step, workers)).toEqual(new Set());
    await expect.poll(heard).toBe(1);
    expect(book.allowed(QUEUE, step, workers)).toEqual(new Set(['w1']));
    expect(service.calls.map(({ step: name, workerIds }) => [name, workerIds])).toEqual([
      [`${JOB.id}.0.0`, ['w1', 'w2']],
    ]);
    expect(book.permit(`${JOB.id}.0.0.1`, 'w1')).toBe('permit-1');
    expect(book.permit(`${JOB.id}.0.0.1`, 'w2')).toBe('');
  });

  it('asks again before a permit ends', async () => {
    const service = new FirstWorkerOnly();
    const { book, heard, step } = make(service);
    book.allowed(QUEUE, step, workers);
    await expect.poll(heard).toBe(1);
    await expect.poll(() => book.allowed(QUEUE, step, workers)?.size, { interval: 10 }).toBe(0);
    await expect.poll(heard).toBe(2);
    expect(book.permit(`${JOB.id}.0.0.0`, 'w1')).toBe('permit-2');
  });

  it('asks again after a question that failed', async () => {
    const service = new FirstWorkerOnly();
    service.failures = 1;
    const { book, heard, step } = make(service);
    book.allowed(QUEUE, step, workers);
    await expect.poll(heard).toBe(1);
    book.allowed(QUEUE, step, workers);
    await expect.poll(heard).toBe(2);
    expect(book.allowed(QUEUE, step, workers)).toEqual(new Set(['w1']));
  });

  it('allows no worker where there is no service', () => {
    const { book, step } = make(undefined);
    expect(book.allowed(QUEUE, step, workers)).toEqual(new Set());
  });
});
