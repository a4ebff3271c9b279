import { describe, expect, it } from 'vitest';
import type { StepSpec, Task, Worker, WorkerInfo } from '../../src/jobs';
import { JobRun, Scheduler } from '../../src/jobs';
import { config, job, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

function suspectedTask(jobId: string): Task | undefined {
  const [only] = new JobRun(job(jobId, [step()])).steps();
  const task = only?.firstWaitingTask();
  if (task !== undefined) {
    task.crashes.suspected = 1;
  }
  return task;
}

/** Time at which a task that was ready at 0 has waited long enough to be reported, in ms. */
const LATER = 2500;

interface Setup {
  allowed?: readonly string[];
  assign?: boolean;
  close: (workers: Map<string, Worker>) => void;
  spec?: Partial<StepSpec>;
  workers?: Record<string, Partial<WorkerInfo>>;
}

function reportAfterWait({ allowed, assign = true, close, spec = {}, workers = { w1: {} } }: Setup) {
  const lookup = allowed === undefined ? undefined : () => new Set(allowed);
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined, lookup);
  const cfg = config();
  const advice = allowed === undefined ? undefined : { decisionMs: 1, perWorkerMs: 1, validityMs: 1 };
  scheduler.onConfig({ ...cfg, queues: cfg.queues.map((queue) => ({ ...queue, advice })) });
  for (const [id, parts] of Object.entries(workers)) {
    scheduler.onWorkerRegistered(worker(id, parts), 0);
  }
  const known = new Map(scheduler.workers);
  known.forEach((item) => (item.isFenced = true));
  close(known);
  scheduler.onJob(job('00000000000000a1', [step(spec)]), [], 0, 0);
  expect(scheduler.waitingWithRoom(0)).toEqual([]);
  scheduler.requestAssignment();
  scheduler.plan(LATER, LATER, assign);
  return scheduler.waitingWithRoom(LATER);
}

const nothing = (): void => undefined;
const first = (change: (item: Worker) => void) => (workers: Map<string, Worker>) => {
  [...workers.values()].slice(0, 1).forEach(change);
};

const cases: [name: string, setup: Setup, reason: string, detail?: number | string][] = [
  ['not asked for a report', { close: first((item) => (item.isFenced = false)) }, 'not-asked'],
  ['silent', { close: first((item) => (item.isUnresponsive = true)) }, 'silent'],
  [
    'emptied',
    {
      close: first((item) => {
        item.vmClaims.set('wave-3', { holder: 'wave-3', reason: 'maintenance', since: 0, until: Infinity });
      }),
    },
    'emptied',
    'wave-3: maintenance',
  ],
  ['draining', { close: nothing, workers: { w1: { draining: true } } }, 'draining'],
  ['paused', { close: first((item) => (item.pausedUntil = LATER + 700)) }, 'paused', 700],
  [
    'running orphans',
    {
      close: first((item) =>
        item.orphans.update([{ checkpoint: '', load: 0, percent: 1, run: 1, task: 'x' }]),
      ),
    },
    'orphaned-runs',
    1,
  ],
  [
    'held for a suspected task',
    {
      close: first((item) => {
        item.heldFor = suspectedTask('00000000000000a2');
        item.heldUntil = LATER + 1;
      }),
    },
    'isolated',
  ],
  ['without a permit', { allowed: ['w2'], close: nothing }, 'no-permit'],
  [
    'short of memory',
    { close: nothing, spec: { demand: { cpuMilli: 1, gpus: 0, memoryMb: 4016 } } },
    'no-room-memory',
  ],
  [
    'short of accelerators',
    { close: nothing, spec: { demand: { cpuMilli: 1, gpus: 1, memoryMb: 1 } } },
    'no-room-accelerators',
  ],
  ['without the label', { close: nothing, spec: { requiredLabel: 'big' } }, 'no-label'],
  ['too small for a whole gang', { close: nothing, spec: { count: 5, gang: true } }, 'gang'],
  ['open, but the store is too slow', { assign: false, close: nothing }, 'assignment-paused'],
];

describe('tasks that wait although their pool has room', () => {
  it.each(cases)('explains that the worker is %s', (_, setup, reason, detail) => {
    const [found] = reportAfterWait(setup);
    expect(found?.byReason).toEqual({ [reason]: 1 });
    expect(found?.workers).toEqual([{ ...(detail === undefined ? {} : { detail }), reason, worker: 'w1' }]);
  });

  it('names the task with its failed runs, its limit and its demand', () => {
    const [found] = reportAfterWait({ close: first((item) => (item.isUnresponsive = true)) });
    expect(found).toMatchObject({
      count: 1,
      demand: { cpuMilli: 1000, gpus: 0, memoryMb: 100 },
      failures: 0,
      limit: 2,
      pool: 'p',
      run: 0,
      task: '00000000000000a1.0.0.0',
      waitedMs: LATER,
    });
  });

  it('reports no task that waits because its pool is busy', () => {
    const busy = step({ count: 4, demand: { cpuMilli: 1000, gpus: 0, memoryMb: 100 } });
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered(worker('w1'), 0);
    scheduler.workers.forEach((item) => (item.isFenced = true));
    scheduler.onJob(job('00000000000000a1', [busy]), [], 0, 0);
    scheduler.onJob(job('00000000000000a2', [busy]), [], 0, 0);
    scheduler.plan(0, 0);
    expect(scheduler.waitingWithRoom(0)).toEqual([]);
    expect(scheduler.waitingWithRoom(LATER)).toEqual([]);
  });

  it('keeps a report small in a pool with many workers', () => {
    const names = Array.from({ length: 200 }, (_, index) => [`worker-with-a-long-id-${index}`, {}] as const);
    const close = (workers: Map<string, Worker>): void => {
      workers.forEach((item) => (item.isUnresponsive = true));
    };
    const [found] = reportAfterWait({ close, workers: Object.fromEntries(names) });
    expect(found?.byReason).toEqual({ silent: 200 });
    expect(JSON.stringify(found).length).toBeLessThan(2000);
  });

  it('expects an assignment on a worker that has become usable since the last one', () => {
    const suspected = suspectedTask('00000000000000a2');
    for (const close of [
      (item: Worker) => (item.pausedUntil = LATER - 10),
      (item: Worker) => Object.assign(item, { heldFor: suspected, heldUntil: LATER - 10 }),
    ]) {
      const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
      scheduler.onConfig(config());
      scheduler.onWorkerRegistered(worker('w1'), 0);
      for (const item of scheduler.workers.values()) {
        item.isFenced = true;
        close(item);
      }
      scheduler.onJob(job('00000000000000a1', [step()]), [], 0, 0);
      scheduler.waitingWithRoom(0);
      scheduler.plan(LATER - 50, 0);
      expect(scheduler.waitingWithRoom(LATER)[0]?.byReason).toEqual({ 'plan-due': 1 });
    }
  });
});
