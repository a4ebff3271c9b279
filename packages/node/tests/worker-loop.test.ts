import type { Worker, WorkerReport } from '@sequoiaquay/core/jobs';
import { RUN_END, Scheduler } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LinkError, ReportCall, WorkerLink } from '../src/ports/worker-link';
import { config, job, SCHEDULER_SETTINGS, step } from '../../core/tests/jobs/support/jobs';
import { WorkerLoop } from '../src/worker-loop';
import { quietLog } from './support/quiet-log';
import { WORKER } from './support/sample-job';

const LEASE_MS = 4200;
const JOB_ID = '00000000000000a1';
const TASK = `${JOB_ID}.0.0.0`;

/** Number of calls after which a loop without pauses is stopped. */
const MANY_CALLS = 100;

const SILENT: LinkError = { kind: 'silent', message: 'no answer' };

/** Worker that runs one task as long as its lease is extended, and whose answers are delayed. */
class SlowWorker implements WorkerLink {
  /** Run of a task that is not assigned to the worker; empty if there is none. */
  orphan = '';
  reports = 0;
  /** Time from the receipt of a request to its answer, without the wait that it asks for, in ms. */
  answerDelayMs = 5;
  disconnects = 0;
  /** Whether the worker has received the order to start the task. */
  hasStarted = false;
  #leaseEndsAt = Infinity;

  get hasLapsed(): boolean {
    return performance.now() > this.#leaseEndsAt;
  }

  disconnect(): void {
    this.disconnects += 1;
  }

  report(call: ReportCall): ReturnType<WorkerLink['report']> {
    if (!call.maySend()) {
      return errAsync(SILENT);
    }
    if (call.deadline !== undefined && !this.hasLapsed) {
      this.#leaseEndsAt = call.deadline;
    }
    this.reports += 1;
    const orphans =
      this.orphan === '' ? [] : [{ checkpoint: '', load: 0, percent: 50, run: 1, task: this.orphan }];
    const report = (): WorkerReport => ({
      bornAt: WORKER.bornAt,
      clockMs: performance.now(),
      ended: [],
      running:
        this.hasLapsed || !this.hasStarted
          ? orphans
          : [{ checkpoint: '', load: 0, percent: 50, run: 1, task: TASK }, ...orphans],
    });
    const isTimely = this.answerDelayMs <= call.limitMs;
    const answeredAfterMs = call.waitMs + Math.min(this.answerDelayMs, call.limitMs);
    return ResultAsync.fromSafePromise<undefined, LinkError>(sleep(answeredAfterMs)).andThen(() =>
      isTimely ? okAsync(report()) : errAsync(SILENT),
    );
  }

  start(): ReturnType<WorkerLink['start']> {
    return Promise.resolve({ answer: 'started', clockMs: undefined });
  }

  stop(): ReturnType<WorkerLink['stop']> {
    return okAsync(undefined);
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    return okAsync(undefined);
  }
}

function sleep(delayMs: number): Promise<undefined> {
  return new Promise((resolve) => {
    setTimeout(() => {
      resolve(undefined);
    }, delayMs);
  });
}

// Guards against work that is given up while its worker is only silent or slow to report: the lease ends, the
// worker ends the run, and the task starts again elsewhere.
describe('WorkerLoop', () => {
  const link = { current: new SlowWorker() };
  let mayExtend = true;
  let loop: WorkerLoop;
  let scheduler: Scheduler;
  let stop: AbortController;

  beforeEach(async () => {
    vi.useFakeTimers();
    link.current = new SlowWorker();
    mayExtend = true;
    stop = new AbortController();
    scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onConfig(config());
    scheduler.onWorkerRegistered({ ...WORKER, pool: 'p' }, 0);
    const worker = scheduler.workers.get(WORKER.id);
    if (worker === undefined) {
      throw new Error('the worker is not known');
    }
    loop = new WorkerLoop(
      worker,
      {
        canExtendLeases: () => mayExtend,
        epoch: 1,
        leaseMs: LEASE_MS,
        link: link.current,
        log: quietLog,
        onChange: () => undefined,
        onFenced: () => undefined,
        scheduler,
        timers: new SystemTimerService(),
      },
      stop.signal,
    );
    void loop.run();
    await vi.advanceTimersByTimeAsync(50);
    scheduler.onJob(job(JOB_ID, [step({ longRunning: true })]), [], performance.now(), 0);
    const [order] = scheduler.plan(performance.now(), 0).starts;
    if (order === undefined) {
      throw new Error('the task was not assigned');
    }
    worker.extendLease(performance.now(), LEASE_MS);
    scheduler.onStartAnswer(order, 'started', performance.now());
    link.current.hasStarted = true;
    loop.wakeUp();
    await vi.advanceTimersByTimeAsync(200);
  });

  afterEach(() => {
    stop.abort();
    vi.useRealTimers();
  });

  async function isRunKept(forMs: number): Promise<boolean> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 100) {
      await vi.advanceTimersByTimeAsync(100);
      scheduler.tick(performance.now(), 0);
      const { starts } = scheduler.plan(performance.now(), 0);
      if (link.current.hasLapsed || starts.length > 0) {
        return false;
      }
    }
    return true;
  }

  it.each([5, 650, 1000, 1400])(
    'keeps the run of a worker whose answers take %i ms',
    async (answerDelayMs) => {
      link.current.answerDelayMs = answerDelayMs;
      expect(await isRunKept(30_000)).toBe(true);
    },
  );

  it('keeps the run of a worker that is silent for two seconds, and calls it on new connections', async () => {
    link.current.answerDelayMs = Infinity;
    expect(await isRunKept(2000)).toBe(true);
    link.current.answerDelayMs = 5;
    expect(await isRunKept(10_000)).toBe(true);
    expect(link.current.disconnects).toBeGreaterThan(0);
  });

  it.each([
    ['disconnected', (worker: Worker | undefined): boolean => worker?.disconnection !== undefined],
    ['replaced', (worker: Worker | undefined): boolean => worker === undefined],
  ] as const)('passes on that a worker is %s', async (kind, isHandled) => {
    link.current.report = () => errAsync({ kind, message: kind });
    await vi.advanceTimersByTimeAsync(1500);
    expect(isHandled(scheduler.workers.get(WORKER.id))).toBe(true);
  });

  // Guards against a task that crashes every worker that starts it and is not found out.
  it('finds a crash soon after a start while an acknowledgement waits', async () => {
    const known = scheduler.workers.get(WORKER.id);
    const [run] = known?.runs.values() ?? [];
    if (known === undefined || run === undefined) {
      throw new Error('the worker has no run');
    }
    const missCalls = (): void => {
      known.lastMissedAt = performance.now();
    };
    known.endsRead = 1;
    known.endsStored = 1;
    for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 200) {
      missCalls();
      await vi.advanceTimersByTimeAsync(200);
    }
    run.runningSince = performance.now();
    loop.wakeUp();
    await vi.advanceTimersByTimeAsync(10);
    link.current.report = () => errAsync({ kind: 'disconnected', message: 'closed' });
    await vi.advanceTimersByTimeAsync(150);
    expect(known.disconnection).toMatchObject({ wasStarting: true });
  });

  // Guards against calls without a pause to a worker that is only kept because late calls may reach its id.
  it('asks a replaced worker no more, and its next life at once when it is registered', async () => {
    const known = scheduler.workers.get(WORKER.id);
    const [run] = known?.runs.values() ?? [];
    if (known === undefined || run === undefined) {
      throw new Error('the worker has no run');
    }
    known.addUnansweredOrder({ run: 1, task: run }, performance.now());
    let calls = 0;
    const report = link.current.report.bind(link.current);
    link.current.report = () => {
      calls += 1;
      known.isUnresponsive = true;
      if (calls > MANY_CALLS) {
        stop.abort();
      }
      return errAsync({ isUnsent: true, kind: 'replaced', message: 'replaced' });
    };
    await vi.advanceTimersByTimeAsync(3000);
    expect(scheduler.workers.get(WORKER.id)).toBe(known);
    expect(calls).toBeLessThan(3);
    link.current.report = (call) => {
      calls += 1;
      return report(call);
    };
    calls = 0;
    scheduler.onWorkerRegistered({ ...WORKER, bornAt: WORKER.bornAt + 1, pool: 'p' }, performance.now());
    loop.wakeUp();
    await vi.advanceTimersByTimeAsync(50);
    expect(calls).toBeGreaterThan(0);
  });

  it('asks a worker often until the runs that are not assigned to it have ended, so that it is used again', async () => {
    const known = scheduler.workers.get(WORKER.id);
    link.current.orphan = 'cancelled.0.0.0';
    await vi.advanceTimersByTimeAsync(2000);
    expect(known?.isAssignable(performance.now())).toBe(false);
    scheduler.onCancel(JOB_ID, performance.now());
    for (const order of scheduler.plan(performance.now(), 0).stops) {
      scheduler.onStopAcknowledged(order, performance.now());
    }
    link.current.hasStarted = false;
    await vi.advanceTimersByTimeAsync(2000);
    expect(known?.runs.size).toBe(0);
    const reports = link.current.reports;
    await vi.advanceTimersByTimeAsync(1000);
    expect(link.current.reports).toBeGreaterThan(reports + 10);
    link.current.orphan = '';
    await vi.advanceTimersByTimeAsync(200);
    expect(known?.isAssignable(performance.now())).toBe(true);
  });

  // Guards against a workspace whose use stays up although nothing of it runs.
  it('asks an idle worker for reports until they show that a member of a finished gang has ended', async () => {
    const known = scheduler.workers.get(WORKER.id);
    scheduler.onCancel(JOB_ID, performance.now());
    for (const order of scheduler.plan(performance.now(), 0).stops) {
      scheduler.onStopAcknowledged(order, performance.now());
    }
    link.current.hasStarted = false;
    await vi.advanceTimersByTimeAsync(2000);
    expect(known?.runs.size).toBe(0);
    const id = '00000000000000a2';
    scheduler.onJob({ ...job(id, [step()]), workspace: 'a' }, [], performance.now(), 0);
    const member = scheduler.jobs.get(id)?.findStep({ occurrence: 0, step: 0 })?.getOrCreateTask(0);
    if (member !== undefined) {
      known?.finishedMembers.add(member, performance.now());
    }
    expect(scheduler.workspaceUseOf('a').cpuMilli).toBeGreaterThan(0);
    const reports = link.current.reports;
    await vi.advanceTimersByTimeAsync(16_000);
    expect(scheduler.workspaceUseOf('a').cpuMilli).toBe(0);
    expect(link.current.reports - reports).toBeLessThan(1000);
  });

  it('asks an idle worker for a report once its clock has proved wrong', async () => {
    const known = scheduler.workers.get(WORKER.id);
    scheduler.onCancel(JOB_ID, performance.now());
    for (const order of scheduler.plan(performance.now(), 0).stops) {
      scheduler.onStopAcknowledged(order, performance.now());
    }
    link.current.hasStarted = false;
    await vi.advanceTimersByTimeAsync(3000);
    expect(known?.runs.size).toBe(0);
    const { reports } = link.current;
    await vi.advanceTimersByTimeAsync(3000);
    expect(link.current.reports).toBe(reports);
    known?.forgetClock();
    await vi.advanceTimersByTimeAsync(1100);
    expect(link.current.reports).toBeGreaterThan(reports);
    expect(known?.extendLease(performance.now(), LEASE_MS)).toBeDefined();
  });

  // Guards against orders that wait for ever for a reading of the clock.
  describe('asked for a new reading of the clock of an idle worker', () => {
    let known: Worker | undefined;
    let settled = 0;

    beforeEach(async () => {
      known = scheduler.workers.get(WORKER.id);
      settled = 0;
      scheduler.onCancel(JOB_ID, performance.now());
      for (const order of scheduler.plan(performance.now(), 0).stops) {
        scheduler.onStopAcknowledged(order, performance.now());
      }
      link.current.hasStarted = false;
      await vi.advanceTimersByTimeAsync(60_000);
      expect(known?.isClockRecent(performance.now())).toBe(false);
    });

    function refresh(): void {
      void loop.refresh().then(() => {
        settled += 1;
      });
    }

    it('requests one report at once', async () => {
      const { reports } = link.current;
      refresh();
      refresh();
      await vi.advanceTimersByTimeAsync(50);
      expect(settled).toBe(2);
      expect(link.current.reports).toBe(reports + 1);
      expect(known?.isClockRecent(performance.now())).toBe(true);
    });

    it.each([
      [
        'does not answer',
        (): void => {
          link.current.answerDelayMs = Infinity;
        },
      ],
      [
        'may not be asked',
        (): void => {
          mayExtend = false;
        },
      ],
      [
        'is dropped',
        (): void => {
          scheduler.onWorkerDeregistered(WORKER.id);
        },
      ],
      [
        'belongs to an ended term',
        (): void => {
          stop.abort();
        },
      ],
    ])('goes on if the worker %s', async (_, disturb) => {
      disturb();
      refresh();
      await vi.advanceTimersByTimeAsync(1000);
      expect(settled).toBe(1);
      expect(known?.isClockRecent(performance.now())).toBe(false);
    });
  });

  it('extends no lease while it is not permitted to', async () => {
    mayExtend = false;
    expect(await isRunKept(LEASE_MS + 1500)).toBe(false);
  });
});

/** Worker whose only run has ended, and which lists that end until it is acknowledged. */
class IdleWorker extends SlowWorker {
  readonly acknowledged: number[] = [];
  isEndListed = true;

  override report(call: ReportCall): ReturnType<WorkerLink['report']> {
    this.acknowledged.push(call.endsStored);
    this.isEndListed &&= call.endsStored < 1;
    const ended = this.isEndListed
      ? [{ checkpoint: '', end: RUN_END.done, number: 1, run: 1, task: TASK }]
      : [];
    return okAsync({ bornAt: WORKER.bornAt, clockMs: performance.now(), ended, running: [] });
  }
}

describe('WorkerLoop of an idle worker', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against ends that an idle worker lists to every later leader again.
  it('acknowledges the last ends that were stored, once', async () => {
    vi.useFakeTimers();
    const stop = new AbortController();
    const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    scheduler.onWorkerRegistered({ ...WORKER, pool: 'p' }, 0);
    const worker = scheduler.workers.get(WORKER.id);
    if (worker === undefined) {
      throw new Error('the worker is not known');
    }
    const link = new IdleWorker();
    const ctx = {
      canExtendLeases: () => true,
      epoch: 1,
      leaseMs: LEASE_MS,
      link,
      log: quietLog,
      onChange: () => {
        worker.endsStored = worker.endsRead;
      },
      onFenced: () => undefined,
      scheduler,
      timers: new SystemTimerService(),
    };
    void new WorkerLoop(worker, ctx, stop.signal).run();
    await vi.advanceTimersByTimeAsync(3000);
    expect(link.isEndListed).toBe(false);
    // A new life of the worker would drop its own ends up to a number that is repeated, unread.
    worker.forgetClock();
    await vi.advanceTimersByTimeAsync(3000);
    expect(link.acknowledged.filter((number) => number > 0)).toEqual([1]);
    expect(link.acknowledged.at(-1)).toBe(0);
    stop.abort();
  });
});
