import type { FleetConfig, JobRecord, RunEnd, TaskRecord, WorkerReport } from '@sequoiaquay/core/jobs';
import { JOB_RECORD, JobTable, Scheduler, StoredTasks } from '@sequoiaquay/core/jobs';
import { Metrics, SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { TermStart } from '../src/leadership';
import type { NodeGauges } from '../src/node-metrics';
import type { AppendRequest, StoreError } from '../src/ports/keyed-stream';
import type { ReportCall, StartCall, WorkerLink } from '../src/ports/worker-link';
import type { TermContext } from '../src/term';
import { config } from '../../core/tests/jobs/support/jobs';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { Term } from '../src/term';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { JOB } from './support/sample-job';
import { CODEC, SETTINGS } from './support/sample-node';

const TASK = `${JOB.id}.0.0.0`;

const ASSIGNED: TaskRecord = {
  checkpoint: '',
  failures: 0,
  run: 1,
  state: 'assigned',
  task: TASK,
  workerId: 'w1',
};

const NO_GAUGES: NodeGauges = {
  cfgVersion: () => undefined,
  jobsKnown: () => 0,
  linesDropped: () => 0,
  ownEpoch: () => undefined,
  poolUses: () => [],
  stateAgeMs: () => 0,
  submissionBytes: () => 0,
  waiting: () => new Map(),
  waitingPeerRecords: () => 0,
  waitingWithRoom: () => new Map(),
  withdrawnIds: () => 0,
  workspaceLoads: () => [],
};

/** Time within which a worker that answers is ordered to stop the runs of a cancelled job, in ms. */
const MAX_STOP_DELAY_MS = 1000;

/** Time without further starts after which a job counts as not revived, in ms. */
const QUIET_MS = 300;

/** Worker that reports the end of a run until the end is acknowledged as stored. */
class EndReportingWorker implements WorkerLink {
  readonly started: { run: number; task: string }[] = [];
  stop: WorkerLink['stop'] = () => errAsync({ kind: 'silent', message: 'no answer' });
  storedUpTo = 0;

  disconnect(): void {
    // There are no connections to close.
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    return okAsync(undefined);
  }

  report(call: ReportCall): ReturnType<WorkerLink['report']> {
    this.storedUpTo = Math.max(this.storedUpTo, call.endsStored);
    const end: RunEnd = 'done';
    const ended = this.storedUpTo > 0 ? [] : [{ checkpoint: '', end, number: 1, run: 1, task: TASK }];
    const running = this.started.map(({ run, task }) => ({ checkpoint: '', load: 0, percent: 1, run, task }));
    const report: WorkerReport = { bornAt: 1, clockMs: 1000, ended, running };
    return ResultAsync.fromSafePromise(delay(call.waitMs / 100, report));
  }

  start(call: StartCall): ReturnType<WorkerLink['start']> {
    this.started.push({ run: call.run, task: call.task });
    return Promise.resolve({ answer: 'started', clockMs: undefined });
  }
}

/** Worker that runs a task of an earlier term, and what it is ordered to start, until it is ordered to stop. */
class RunningWorker extends EndReportingWorker {
  readonly stoppedTasks = new Set<string>();

  override stop: WorkerLink['stop'] = (call) => {
    this.stoppedTasks.add(call.task);
    return okAsync(undefined);
  };

  override report(call: ReportCall): ReturnType<WorkerLink['report']> {
    const running = [{ run: 1, task: TASK }, ...this.started]
      .filter(({ task }) => !this.stoppedTasks.has(task))
      .map(({ run, task }) => ({ checkpoint: '', load: 0, percent: 1, run, task }));
    const report: WorkerReport = { bornAt: 1, clockMs: 1000, ended: [], running };
    return ResultAsync.fromSafePromise(delay(call.waitMs / 100, report));
  }
}

/** Time that an append takes, in ms. */
const APPEND_MS = 150;

/** Stream whose appends take some time, and succeed even if they are aborted. */
class SlowStream extends MemoryStream {
  isAppending = false;

  override append(req: AppendRequest): ReturnType<MemoryStream['append']> {
    this.isAppending = true;
    return ResultAsync.fromSafePromise<undefined, StoreError>(delay(APPEND_MS)).andThen(() => {
      this.isAppending = false;
      return super.append(req);
    });
  }
}

/** Workers that record all calls, those with an aborted signal too. */
class RecordingLink implements WorkerLink {
  readonly calls: string[] = [];

  disconnect(): void {
    // There are no connections to close.
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    this.calls.push('throttle');
    return okAsync(undefined);
  }

  report(call: ReportCall): ReturnType<WorkerLink['report']> {
    this.calls.push('report');
    return ResultAsync.fromSafePromise(
      delay(call.waitMs / 100 + 5, { bornAt: 1, clockMs: 1000, ended: [], running: [] }),
    );
  }

  start(): ReturnType<WorkerLink['start']> {
    this.calls.push('start');
    return Promise.resolve({ answer: 'started', clockMs: undefined });
  }

  stop(): ReturnType<WorkerLink['stop']> {
    this.calls.push('stop');
    return okAsync(undefined);
  }
}

let stop = new AbortController();
const neverAborted = new AbortController().signal;

beforeEach(() => {
  stop = new AbortController();
});

afterEach(() => {
  stop.abort();
});

function startWith(...records: TaskRecord[]): TermStart {
  const tasks = new StoredTasks();
  records.forEach((record) => {
    tasks.add(record);
  });
  const lastHeartbeat = { at: -Infinity, released: true };
  const olderTermsExtendUntil = -Infinity;
  return { epoch: 1, lastHeartbeat, olderTermsExtendUntil, otherRecords: [], runsEnd: 0, tasks };
}

function contextOf(link: WorkerLink, jobs = new JobTable(), runs = new MemoryStream()): TermContext {
  const timers = new SystemTimerService();
  const jobsStream = new MemoryStream();
  const registry = new MemoryStream();
  registry.records.push({ key: 'servers/w1', offset: 0, value: 'w1' });
  jobs.apply({ job: JOB, kind: JOB_RECORD.submit });
  const tailSettings = { name: 'jobs', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 };
  const jobsTail = new StreamTail(jobsStream, tailSettings, () => undefined, timers, quietLog);
  void jobsTail.run(stop.signal);
  return {
    cfg: () => config(),
    jobs,
    jobsTail,
    log: quietLog,
    metrics: new NodeMetrics(),
    ports: {
      advice: undefined,
      codec: CODEC,
      jobs: jobsStream,
      link,
      operators: new MemoryStream(),
      registry,
      runs,
      status: new MemoryStream(),
      vms: undefined,
    },
    ownHeartbeatAgeMs: () => 0,
    settings: SETTINGS,
    timers,
    waves: new Map(),
    writer: new JobWriter(jobsStream, () => undefined, timers, quietLog, stop.signal),
  };
}

function runTerm(context: TermContext): Term {
  const term = new Term(context, startWith(ASSIGNED), () => undefined, stop.signal, neverAborted);
  void term.run();
  return term;
}

describe('Term', () => {
  // Guards against repeating a run whose end was reported: a report that was requested before the records of
  // the earlier term were restored made the worker drop the end.
  it('does not repeat a task whose end a worker reports while the term starts', async () => {
    const link = new EndReportingWorker();
    runTerm(contextOf(link));
    await expect.poll(() => link.started.length, { timeout: 3000 }).toBeGreaterThan(0);
    await expect.poll(() => link.storedUpTo, { timeout: 3000 }).toBe(1);
    expect(link.started).toEqual([{ run: 1, task: `${JOB.id}.0.0.1` }]);
  });

  // Guards against a takeover whose time grows with the square of the number of waiting jobs.
  it.each([
    ['a', ['f2', 'f3', 'f1']],
    [undefined, ['f1', 'f2', 'f3']],
  ])('takes over jobs of the workspace %s in the order %j', async (workspace, order) => {
    const onJob = vi.spyOn(Scheduler.prototype, 'onJob');
    const jobs = new JobTable();
    for (const [index, acceptedAt] of [2000, 0, 1000].entries()) {
      const id = `00000000000000f${index + 1}`;
      jobs.apply({ job: { ...JOB, acceptedAt, id, workspace }, kind: JOB_RECORD.submit });
    }
    runTerm(contextOf(new RunningWorker(), jobs));
    const added = (): string[] => onJob.mock.calls.map(([{ id }]) => id.slice(-2));
    await expect.poll(added, { timeout: 3000 }).toEqual(expect.arrayContaining(order));
    expect(added().filter((id) => id.startsWith('f'))).toEqual(order);
    onJob.mockRestore();
  });

  it('takes over the other jobs after an unexpected error with one', async () => {
    const link = new EndReportingWorker();
    const jobs = new JobTable();
    const get = (): number => {
      throw new Error('odd step');
    };
    const steps = JOB.spec.steps.map((step) => Object.defineProperty({ ...step }, 'count', { get }));
    const odd = { ...JOB, id: '00000000000000f1', spec: { ...JOB.spec, steps } };
    jobs.apply({ job: odd, kind: JOB_RECORD.submit });
    runTerm(contextOf(link, jobs));
    await expect.poll(() => link.started.map(({ task }) => task)).toContain(`${JOB.id}.0.0.1`);
  });

  it('stops the runs of a cancelled job whose specification is deleted after a change of leader', async () => {
    const link = new RunningWorker();
    const jobs = new JobTable();
    jobs.apply({ id: JOB.id, kind: JOB_RECORD.cancel });
    runTerm(contextOf(link, jobs));
    await expect.poll(() => [...link.stoppedTasks], { timeout: MAX_STOP_DELAY_MS }).toEqual([TASK]);
    expect(link.started).toEqual([]);
  });

  it('stops the runs of a job that is cancelled, and starts none for a submission stored late', async () => {
    const link = new RunningWorker();
    const jobs = new JobTable();
    const term = runTerm(contextOf(link, jobs));
    await expect.poll(() => link.started.length, { timeout: 3000 }).toBe(1);
    const records: JobRecord[] = [
      { id: JOB.id, kind: JOB_RECORD.cancel },
      { job: JOB, kind: JOB_RECORD.submit },
    ];
    for (const record of records) {
      const entry = jobs.apply(record);
      expect(entry).toBeDefined();
      if (entry !== undefined) {
        term.onJob(JOB.id, entry);
      }
    }
    await expect.poll(() => link.stoppedTasks.size, { timeout: MAX_STOP_DELAY_MS }).toBe(2);
    await delay(QUIET_MS);
    expect(link.started).toHaveLength(1);
  });

  // Guards against a setting that does not reach the decisions, and decisions that do not reach the metrics.
  it.each([
    [2, 'sequoiaquay_rack_starts_total{cause="taken-over",place="far"} 1'],
    [undefined, undefined],
  ])('counts the starts of tasks far from their data with a factor of %s', async (remoteFactor, line) => {
    const link = new RunningWorker();
    const jobs = new JobTable();
    const ctx = contextOf(link, jobs);
    const [wanting] = JOB.spec.steps.map((item) => ({ ...item, count: 1, preferredRack: 'elsewhere' }));
    const spec = { ...JOB.spec, steps: wanting === undefined ? [] : [wanting] };
    jobs.apply({ job: { ...JOB, id: '00000000000000f2', spec }, kind: JOB_RECORD.submit });
    ctx.settings = { ...SETTINGS, bounds: { ...SETTINGS.bounds, remoteFactor } };
    runTerm(ctx);
    await expect.poll(() => link.started, { timeout: 3000 }).toHaveLength(2);
    const metrics = new Metrics();
    ctx.metrics.publish(metrics, NO_GAUGES);
    const lines = (await metrics.renderText()).split('\n');
    expect(lines.find((text) => text.startsWith('sequoiaquay_rack_starts_total{'))).toBe(line);
  });

  // Guards against workers that are asked for no report, so that the tasks of their pool wait: no entry of the
  // registry comes with the configuration.
  it('uses the workers of a pool that a configuration takes out of the spare ones', async () => {
    const link = new RecordingLink();
    const ctx = contextOf(link);
    const cfgOf = (spare: boolean): FleetConfig => ({
      ...config(),
      pools: [{ enforcesCapacity: true, name: 'p', spare }],
    });
    let cfg = cfgOf(true);
    ctx.cfg = () => cfg;
    const term = new Term(ctx, startWith(), () => undefined, stop.signal, neverAborted);
    void term.run();
    await delay(QUIET_MS);
    expect(link.calls).toEqual([]);
    cfg = cfgOf(false);
    term.onConfig(cfg);
    await expect.poll(() => link.calls, { timeout: 3000 }).toContain('start');
  });

  // Guards against an unexpected error in the decisions that ends the process, which also serves callers.
  it('ends with an error in the decisions, without an exception', async () => {
    const reasons: string[] = [];
    const over = new AbortController();
    const ctx = contextOf(new RecordingLink());
    ctx.metrics.recordDecision = (decision) => {
      if (decision === 'task-assigned') {
        throw new Error('unexpected');
      }
    };
    const onLost = (reason: string): void => {
      reasons.push(reason);
      over.abort();
    };
    const ended = new Term(ctx, startWith(), onLost, over.signal, neverAborted).run();
    await expect.poll(() => reasons, { timeout: 3000 }).toEqual(['unexpected error']);
    await ended;
  });

  describe.each(['released', 'retired'] as const)('that is %s while an append is in flight', (end) => {
    // Guards against an order of the old leader after its successor counts on the end of its leases.
    it('sends nothing to workers after its end and plans nothing more', async () => {
      const link = new RecordingLink();
      const runs = new SlowStream();
      const over = new AbortController();
      const retire = new AbortController();
      const term = new Term(
        contextOf(link, new JobTable(), runs),
        startWith(),
        () => undefined,
        over.signal,
        retire.signal,
      );
      const ended = term.run();
      await expect.poll(() => runs.isAppending, { interval: 1, timeout: 3000 }).toBe(true);
      (end === 'released' ? over : retire).abort();
      if (end === 'retired') {
        await ended;
        expect(runs.isAppending).toBe(false);
        over.abort();
      }
      const sent = link.calls.length;
      const stored = runs.records.length;
      await delay(2 * APPEND_MS + 300);
      expect(link.calls.slice(sent)).toEqual([]);
      expect(runs.records.length - stored).toBeLessThanOrEqual(end === 'released' ? 2 : 0);
    });
  });
});
