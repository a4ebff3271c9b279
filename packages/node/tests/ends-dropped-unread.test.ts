import type { Job } from '@sequoiaquay/core/jobs';
import { JOB_RECORD, JobTable, StoredTasks } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { TermStart } from '../src/leadership';
import type { TermContext } from '../src/term';
import { config, job, step } from '../../core/tests/jobs/support/jobs';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { Term } from '../src/term';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { RestartingWorker } from './support/restarting-worker';
import { CODEC, SETTINGS } from './support/sample-node';

const FIRST = '00000000000000a1';
const LASTING = '00000000000000a2';
const NEXT = '00000000000000a3';

/** Time in which the leader learns of a restart, waits for what may still be carried out, and runs a task, in ms. */
const SETTLED_MS = 40_000;

describe('the end of a run in a life of its worker that the leader does not know yet', () => {
  let jobs: JobTable;
  let jobsStream: MemoryStream;
  let stop: AbortController;
  let term: Term;
  let worker: RestartingWorker;

  beforeEach(async () => {
    vi.useFakeTimers();
    jobs = new JobTable();
    jobsStream = new MemoryStream();
    stop = new AbortController();
    worker = new RestartingWorker();
    term = new Term(contextOf(), start(), () => undefined, stop.signal, new AbortController().signal);
    void term.run();
    await vi.advanceTimersByTimeAsync(500);
  });

  afterEach(() => {
    stop.abort();
    vi.useRealTimers();
  });

  function start(): TermStart {
    const lastHeartbeat = { at: -Infinity, released: true };
    const common = { epoch: 1, olderTermsExtendUntil: -Infinity, otherRecords: [], runsEnd: 0 };
    return { ...common, lastHeartbeat, tasks: new StoredTasks() };
  }

  function contextOf(): TermContext {
    const timers = new SystemTimerService();
    const registry = new MemoryStream();
    registry.records.push({ key: 'servers/w1', offset: 0, value: 'w1' });
    const tailSettings = { name: 'jobs', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 };
    const jobsTail = new StreamTail(jobsStream, tailSettings, () => undefined, timers, quietLog);
    void jobsTail.run(stop.signal);
    const entry = worker.info;
    return {
      cfg: () => config(),
      jobs,
      jobsTail,
      log: quietLog,
      metrics: new NodeMetrics(),
      ports: {
        advice: undefined,
        codec: { ...CODEC, decodeWorker: () => ok(entry) },
        jobs: jobsStream,
        link: worker,
        operators: new MemoryStream(),
        registry,
        runs: new MemoryStream(),
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

  function submit(item: Job): void {
    const entry = jobs.apply({ job: item, kind: JOB_RECORD.submit });
    if (entry !== undefined) {
      term.onJob(item.id, entry);
    }
  }

  // Guards against a second run of a task that is done: the new life drops its end for the acknowledgement of the former.
  it.each([
    ['reaches the new life while it runs the task', 100, 300],
    ['reaches the new life after its timeout', 1750, 1600],
    ['reaches the new life seconds later', 4000, 4300],
  ])('is not dropped unread when a request of the former life %s', async (_, heldMs, durationMs) => {
    worker.durationOf = (task) => ({ [FIRST]: 300, [NEXT]: durationMs })[task.slice(0, 16)] ?? Infinity;
    submit(job(LASTING, [step({ longRunning: true })]));
    submit(job(FIRST, [step()]));
    await vi.advanceTimersByTimeAsync(250);
    expect(worker.started).toHaveLength(2);
    let isHeld = false;
    worker.delayOf = ({ endsStored }) => {
      if (isHeld || endsStored === 0) {
        return 1;
      }
      isHeld = true;
      worker.restart();
      submit(job(NEXT, [step()]));
      return heldMs;
    };
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    expect(isHeld).toBe(true);
    const runs = worker.started.filter((task) => task.startsWith(NEXT));
    expect(runs).toHaveLength(1);
    expect(worker.done.filter((task) => task.startsWith(NEXT))).toHaveLength(1);
    const ends = jobsStream.records.filter(({ value = '' }) => value.includes('completed'));
    expect(ends.filter(({ key }) => key.includes(NEXT))).toHaveLength(1);
  });
});
