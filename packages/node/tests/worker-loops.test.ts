import type { WorkerInfo, WorkerReport } from '@sequoiaquay/core/jobs';
import type { Result } from 'neverthrow';
import { RUN_END, Scheduler } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { LinkError, ReportCall, WorkerLink } from '../src/ports/worker-link';
import { config } from '../../core/tests/jobs/support/jobs';
import { job, SCHEDULER_SETTINGS, step } from '../../core/tests/jobs/support/jobs';
import { WorkerLoops } from '../src/worker-loops';
import { quietLog } from './support/quiet-log';
import { JOB, WORKER } from './support/sample-job';

const RUN = {
  checkpoint: '',
  failures: 0,
  run: 1,
  state: 'assigned',
  task: `${JOB.id}.0.0.0`,
  workerId: WORKER.id,
} as const;

const REPORT: WorkerReport = { bornAt: WORKER.bornAt, clockMs: 1000, ended: [], running: [] };

let loops: WorkerLoops | undefined;
let stop = new AbortController();

afterEach(() => {
  stop.abort();
});

function startLoops(
  report: WorkerLink['report'],
  runs: (typeof RUN)[],
  info: WorkerInfo = { ...WORKER, pool: 'spare' },
): Scheduler {
  stop = new AbortController();
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  scheduler.onWorkerRegistered(info, 0);
  scheduler.onJob(JOB, runs, 0, 0);
  const link = { disconnect: () => undefined, report } as unknown as WorkerLink;
  const ctx = {
    canExtendLeases: () => true,
    epoch: 1,
    leaseMs: 4000,
    link,
    log: quietLog,
    onChange: () => undefined,
    onFenced: () => undefined,
    scheduler,
    timers: new SystemTimerService(),
  };
  loops = new WorkerLoops(ctx, () => new Set(['spare']), stop.signal);
  loops.startMissing();
  return scheduler;
}

describe('WorkerLoops', () => {
  // Guards against a task that never starts again: an earlier term assigned it to a worker that is in a spare pool
  // since, and without requests the worker is neither found silent nor reports that it does not run the task.
  it('asks a worker in a spare pool while a run is assigned to it, so that its task starts again', async () => {
    const scheduler = startLoops(() => errAsync({ kind: 'silent', message: 'no answer' }), [RUN]);
    await expect.poll(() => scheduler.workers.get(WORKER.id)?.isUnresponsive).toBe(true);
    scheduler.tick(Infinity, 0);
    expect(scheduler.workers.get(WORKER.id)?.runs.size).toBe(0);
  });

  // Guards against a workspace whose use stays up after a change of the leader.
  it('asks a worker in a spare pool while it has a member of a finished gang', async () => {
    const scheduler = startLoops(() => errAsync({ kind: 'silent', message: 'no answer' }), []);
    const gang = job('00000000000000a2', [step({ count: 2, gang: true })]);
    const record = { ...RUN, task: `${gang.id}.0.0.1` };
    const done = [{ indexes: [0], occurrence: 0, step: 0 }];
    scheduler.onJob({ ...gang, workspace: 'a' }, [record], 0, 0, done);
    expect(scheduler.workspaceUseOf('a').cpuMilli).toBe(1000);
    expect(scheduler.workers.get(WORKER.id)?.runs.size).toBe(0);
    loops?.startMissing();
    await expect.poll(() => scheduler.workers.get(WORKER.id)?.isUnresponsive).toBe(true);
    scheduler.tick(Infinity, 0);
    expect(scheduler.workspaceUseOf('a').cpuMilli).toBe(0);
  });

  it('does not ask an idle worker in a spare pool', () => {
    let requests = 0;
    startLoops(() => {
      requests += 1;
      return errAsync({ kind: 'silent', message: 'no answer' });
    }, []);
    expect(requests).toBe(0);
  });

  // Guards against tasks that are started on a worker and never end, since the worker is asked for no report.
  it('asks a cut-off worker that is registered again, also after an answer that was under way', async () => {
    const requests: ((answer: typeof REPORT) => void)[] = [];
    const info = { ...WORKER, pool: 'p' };
    const scheduler = startLoops(
      () =>
        ResultAsync.fromSafePromise(
          new Promise<typeof REPORT>((resolve) => {
            requests.push(resolve);
          }),
        ),
      [],
      info,
    );
    await expect.poll(() => requests.length).toBe(1);
    scheduler.onWorkerDeregistered(WORKER.id);
    scheduler.onWorkerRegistered(info, 0);
    const registered = scheduler.workers.get(WORKER.id);
    loops?.startMissing();
    await expect.poll(() => requests.length).toBe(2);
    requests[1]?.(REPORT);
    await expect.poll(() => registered?.isFenced).toBe(true);
    requests[0]?.(REPORT);
    await delay(50);
    const [order] = scheduler.plan(performance.now(), 0).starts;
    if (order === undefined) {
      throw new Error('nothing was started');
    }
    expect(order.worker).toBe(registered);
    loops?.wakeUp(order.worker);
    await expect.poll(() => requests.length).toBe(3);
  });

  // Guards against a worker that is never used again: the registry lists it, and no further entry comes.
  it.each(['replaced', 'disconnected'] as const)(
    'goes on with a worker that has moved to another address when its earlier one answers that it is %s',
    async (kind) => {
      const answers: ((answer: Result<WorkerReport, LinkError>) => void)[] = [];
      const addresses: string[] = [];
      const report = (call: ReportCall): ReturnType<WorkerLink['report']> => {
        addresses.push(call.worker.address);
        return new ResultAsync(
          new Promise((resolve) => {
            answers.push(resolve);
          }),
        );
      };
      const scheduler = startLoops(report, [], { ...WORKER, pool: 'p' });
      await expect.poll(() => addresses.length).toBe(1);
      const bornAt = WORKER.bornAt + 1;
      scheduler.onWorkerRegistered({ ...WORKER, address: 'w1:2', bornAt, pool: 'p' }, performance.now());
      loops?.startMissing();
      answers[0]?.(err({ kind, message: kind }));
      await expect.poll(() => addresses.at(-1), { timeout: 200 }).toBe('w1:2');
      expect(scheduler.workers.get(WORKER.id)).toMatchObject({
        disconnection: undefined,
        isUnresponsive: false,
      });
      answers[1]?.(ok({ ...REPORT, bornAt }));
      await expect.poll(() => scheduler.workers.get(WORKER.id)?.isAssignable(performance.now())).toBe(true);
    },
  );

  // Guards against a worker that restarts while it is idle and is closed until the pause between checks ends.
  it('asks an idle worker at once when its entry shows a new incarnation', async () => {
    let requests = 0;
    const report = (): ReturnType<WorkerLink['report']> => {
      requests += 1;
      return okAsync(REPORT);
    };
    const scheduler = startLoops(report, [], { ...WORKER, pool: 'p' });
    await expect.poll(() => scheduler.workers.get(WORKER.id)?.isFenced).toBe(true);
    await delay(50);
    expect(requests).toBe(1);
    scheduler.onWorkerRegistered({ ...WORKER, bornAt: WORKER.bornAt + 1, pool: 'p' }, performance.now());
    loops?.startMissing();
    await expect.poll(() => requests, { timeout: 300 }).toBeGreaterThan(1);
  });

  // Guards against a worker that never gets an order again.
  it('counts an acknowledgement as unanswered after an unexpected error', async () => {
    let hasFailed = false;
    const report: WorkerLink['report'] = ({ endsStored }) => {
      if (endsStored > 0 && !hasFailed) {
        hasFailed = true;
        throw new Error('unexpected');
      }
      const ended = [{ checkpoint: '', end: RUN_END.done, number: 1, run: 1, task: 'other.0.0.0' }];
      return okAsync({ ...REPORT, ended: hasFailed ? [] : ended });
    };
    const scheduler = startLoops(report, [], { ...WORKER, pool: 'p' });
    const worker = scheduler.workers.get(WORKER.id);
    await expect.poll(() => worker?.endsRead).toBe(1);
    if (worker !== undefined) {
      worker.endsStored = 1;
    }
    await expect.poll(() => hasFailed).toBe(true);
    await expect.poll(() => worker?.acknowledgement.isInFlight).toBe(false);
    worker?.forgetClock();
    await expect.poll(() => worker?.acknowledgement.isPending, { timeout: 3000 }).toBe(false);
    expect(worker?.endsAcknowledged).toBe(1);
  });

  it('runs the loop of a worker again after an unexpected error', async () => {
    let requests = 0;
    startLoops(() => {
      requests += 1;
      throw new Error('unexpected');
    }, [RUN]);
    await expect.poll(() => requests, { timeout: 3000 }).toBeGreaterThan(1);
  });
});
