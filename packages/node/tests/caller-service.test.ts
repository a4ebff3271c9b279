import type { FleetConfig, Job, JobRecord, JobSpec, StepSpec } from '@sequoiaquay/core/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable, toJobPolicy } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, ok, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerAnswer } from '../src/caller-answer';
import type { AppendFault } from './support/memory-stream';
import { step } from '../../core/tests/jobs/support/jobs';
import { CallerService } from '../src/caller-service';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { SubmissionBudget } from '../src/submission-budget';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { createRecordingLog } from './support/recording-log';

const ID = '00000bb87a21d94b';
const REQ = { host: 'h', path: `/q/${ID}`, timeoutMs: 600 };
const SPEC: JobSpec = { body: 'work', steps: [step()] };

const JOB: Job = { acceptedAt: 0, id: ID, pool: 'p', queue: 'quick', spec: SPEC };

const ENDS: [JobRecord, string][] = [
  [{ id: ID, kind: 'cancel' }, 'cancelled'],
  [{ id: ID, kind: 'state', state: 'completed' }, 'completed'],
  [{ id: ID, kind: 'state', state: 'failed' }, 'failed'],
];

/** Bytes of jobs that the node may store at the same time. */
const MAX_SUBMISSION_BYTES = 20_000_000;

const CONFIG: FleetConfig = {
  limits: { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 },
  pools: [],
  queues: [
    {
      advice: undefined,
      host: 'h',
      maxAttempts: 1,
      name: 'quick',
      pathPrefix: '/q/',
      pool: 'p',
      priority: 0,
      stretch: 1,
      targetMs: 1,
      timeoutMs: 1,
    },
  ],
  version: 1,
};

/** Timer service that counts the timers of requests that have not fired and were not cancelled. */
class CountingTimers extends SystemTimerService {
  pending = 0;

  override after(delayMs: number, callback: () => void, signal: AbortSignal): void {
    const end = (): void => {
      this.pending -= 1;
    };
    this.pending += 1;
    signal.addEventListener('abort', end);
    super.after(
      delayMs,
      () => {
        signal.removeEventListener('abort', end);
        end();
        callback();
      },
      signal,
    );
  }
}

// Guards against answers that claim more than the node knows: that a job never runs, or does not exist, while
// it may be stored.
describe('CallerService', () => {
  let timers = new CountingTimers();
  let jobs = new JobTable();
  let stop = new AbortController();
  let stream = new MemoryStream();
  let submissionBytes = MAX_SUBMISSION_BYTES;

  beforeEach(() => {
    timers = new CountingTimers();
    submissionBytes = MAX_SUBMISSION_BYTES;
    stop = new AbortController();
    stream = new MemoryStream();
    jobs = new JobTable();
  });

  afterEach(() => {
    stop.abort();
  });

  function createService(...faults: AppendFault[]): CallerService {
    const tail = new StreamTail(
      stream,
      { readPauseMs: () => 5, name: 'jobs', retryDelayMs: 5, waitMs: 0 },
      ({ key, value }) => jobs.apply(decodeJobRecord(key, value)._unsafeUnwrap()),
      timers,
      quietLog,
    );
    void tail.run(stop.signal);
    stream.faults = faults;
    const writer = new JobWriter(stream, (record) => jobs.apply(record), timers, quietLog, stop.signal);
    const service = new CallerService(
      jobs,
      tail,
      writer,
      timers,
      quietLog,
      new NodeMetrics(),
      new SubmissionBudget(submissionBytes),
      () => 0,
    );
    service.cfg = CONFIG;
    return service;
  }

  function store(record: JobRecord): void {
    for (const keyed of encodeJobRecord(record)) {
      stream.records.push({ ...keyed, offset: stream.records.length });
    }
  }

  it('answers that the outcome is unconfirmed if an earlier append of the job had no answer', async () => {
    const refused = Array.from({ length: 40 }, () => 'refused' as const);
    const callers = createService('lost-before', ...refused);
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('unsure');
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('unsure');
  });

  it('stores what the queue determines for its jobs with the job', async () => {
    expect((await createService().submit(REQ, () => ok(SPEC))).kind).toBe('accepted');
    const [queue] = CONFIG.queues;
    expect(queue && toJobPolicy(queue)).toMatchObject({
      maxAttempts: queue?.maxAttempts,
      stretch: queue?.stretch,
    });
    const [stored] = stream.records;
    const decoded = decodeJobRecord(stored?.key ?? '', stored?.value)._unsafeUnwrap();
    expect(decoded).toMatchObject({ job: { policy: queue && toJobPolicy(queue) }, kind: 'submit' });
  });

  it('refuses a job because the store is unavailable when certainly nothing was stored', async () => {
    const callers = createService('refused', 'refused');
    const answer = await callers.submit(REQ, () => ok(SPEC));
    expect(answer).toMatchObject({ kind: 'not-run', reason: 'store-unavailable' });
    expect(stream.records).toEqual([]);
  });

  it('rejects a host without a queue and a path without a job id', async () => {
    const callers = createService();
    expect((await callers.submit({ ...REQ, host: 'x' }, () => ok(SPEC))).kind).toBe('unknown-queue');
    expect((await callers.submit({ ...REQ, path: '/q/none' }, () => ok(SPEC))).kind).toBe('bad-request');
  });

  it('returns the state of a job that another node has just accepted', async () => {
    const callers = createService();
    await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
    store({ job: JOB, kind: 'submit' });
    expect(await callers.show(REQ)).toEqual({ kind: 'state', state: 'queued' });
  });

  it.each(ENDS)('knows an ended job after a restart, without its specification: %o', async (end, state) => {
    store({ job: JOB, kind: 'submit' });
    store(end);
    const callers = createService();
    await expect.poll(() => callers.show(REQ)).toEqual({ kind: 'state', state });
    const stored = stream.records.length;
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('accepted');
    expect((await callers.cancel(REQ)).kind).toBe('cancelled');
    expect(stream.records).toHaveLength(stored);
    store({ id: ID, kind: 'forget' });
    await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
  });

  it.each(ENDS)('knows a job that ended while unread records were dropped: %o', async (end, state) => {
    const callers = createService();
    store({ job: JOB, kind: 'submit' });
    store({ id: ID, kind: 'state', state: 'running' });
    await expect.poll(() => callers.show(REQ)).toEqual({ kind: 'state', state: 'running' });
    store(end);
    stream.first = stream.records.length;
    await expect.poll(() => callers.show(REQ)).toEqual({ kind: 'state', state });
    expect([...jobs.activeJobs()]).toEqual([]);
  });

  it('answers for the jobs that it knows and finds new ones while it loads a stream whose history was dropped', async () => {
    const callers = createService();
    store({ job: JOB, kind: 'submit' });
    store({ id: ID, kind: 'state', state: 'running' });
    await expect.poll(() => callers.show(REQ)).toEqual({ kind: 'state', state: 'running' });
    const other = '00000bb87a21d94c';
    stream.newestFaults = Array.from({ length: 60 }, () => true);
    store({ job: { ...JOB, id: other }, kind: 'submit' });
    stream.first = stream.records.length;
    await expect.poll(() => stream.newestRequests.length, { interval: 5 }).toBeGreaterThan(1);
    expect(await callers.show(REQ)).toEqual({ kind: 'state', state: 'running' });
    expect(stream.newestFaults).not.toEqual([]);
    const answer = await callers.show({ ...REQ, path: `/q/${other}`, timeoutMs: 3000 });
    expect(answer).toEqual({ kind: 'state', state: 'queued' });
  });

  it('refuses a job at once while the accepted ones fill the memory of a leader, until one has ended', async () => {
    const callers = createService();
    const steps = Array.from({ length: 700 }, () => step());
    const large = { ...SPEC, schedule: { count: 70, firstAt: 0, intervalMs: 1000 }, steps };
    const submit = (number: number): Promise<CallerAnswer> => {
      const path = `${REQ.path.slice(0, -ID.length)}${String(number).padStart(16, '0')}`;
      return callers.submit({ ...REQ, path }, () => ok(large));
    };
    const answers = [await submit(1), await submit(2), await submit(3)];
    expect(answers.map(({ kind }) => kind)).toEqual(['accepted', 'accepted', 'not-run']);
    expect(answers[2]).toMatchObject({ reason: 'backlog-full', retryAfterS: expect.any(Number) as number });
    expect(stream.records).toHaveLength(2);
    jobs.apply({ id: '1'.padStart(16, '0'), kind: 'state', state: 'completed' });
    expect(await submit(3)).toMatchObject({ kind: 'accepted' });
  });

  // Guards against long texts and lists of steps that count nothing, so that jobs fill the memory of every leader.
  it.each<[part: string, large: StepSpec]>([
    ['texts', step({ image: 'x'.repeat(100_000), requiredLabel: 'x'.repeat(100_000) })],
    ['a text beyond Latin-1', step({ preferredRack: '\u20ac'.repeat(100_000) })],
    ['a list', step({ after: Array<number>(25_000).fill(0) })],
  ])('counts %s of the steps of accepted jobs', async (_, large) => {
    const callers = createService();
    const spec = { ...SPEC, steps: [step(), large] };
    for (let number = 0; number < 160; number += 1) {
      jobs.apply({ job: { ...JOB, id: String(number).padStart(16, '0'), spec }, kind: 'submit' });
    }
    expect(await callers.submit(REQ, () => ok(SPEC))).toMatchObject({ reason: 'backlog-full' });
  });

  // Guards against a crowd of large jobs that leaves ordinary ones no room until the jobs have ended.
  it('takes ordinary jobs while large ones have filled their part of the memory of a leader', async () => {
    const callers = createService();
    const spec = { ...SPEC, body: 'x'.repeat(200_000) };
    const submit = (number: number, job: JobSpec): Promise<CallerAnswer> =>
      callers.submit({ ...REQ, path: `/q/${String(number).padStart(16, '0')}` }, () => ok(job));
    let count = 0;
    while (count < 200 && (await submit(count, spec)).kind === 'accepted') {
      count += 1;
    }
    expect(await submit(count, spec)).toMatchObject({ reason: 'backlog-full' });
    for (let number = 500; number < 1000; number += 1) {
      expect(await submit(number, { ...SPEC, body: 'x'.repeat(4000) })).toEqual({ kind: 'accepted' });
    }
  });

  it('refuses a job at once while those being stored fill its memory, and takes it once they are stored', async () => {
    submissionBytes = 30_000;
    const callers = createService();
    const path = '/q/00000bb87a21d94c';
    const large = { ...SPEC, body: 'x'.repeat(8000) };
    const first = callers.submit(REQ, () => ok(large));
    expect(await callers.submit({ ...REQ, path }, () => ok(large))).toEqual({
      kind: 'not-run',
      reason: 'submissions-full',
      retryAfterS: 1,
    });
    expect((await first).kind).toBe('accepted');
    expect(stream.records).toHaveLength(1);
    expect((await callers.submit({ ...REQ, path }, () => ok(large))).kind).toBe('accepted');
  });

  it('does not call a job refused for want of memory not run after an append of it without an answer', async () => {
    submissionBytes = 10_000;
    const callers = createService('lost-before', ...Array.from({ length: 40 }, () => 'refused' as const));
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('unsure');
    const path = '/q/00000bb87a21d94c';
    const other = callers.submit({ ...REQ, path }, () => ok({ ...SPEC, body: 'x'.repeat(8000) }));
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('unsure');
    await other;
  });

  // Guards against bodies that are decoded for clients that may not use any queue.
  it('decodes no body of a request for an unknown queue', async () => {
    const callers = createService();
    const decode = (): never => {
      throw new Error('decoded');
    };
    expect((await callers.submit({ ...REQ, host: 'x' }, decode)).kind).toBe('unknown-queue');
    callers.cfg = undefined;
    expect((await callers.submit(REQ, decode)).kind).toBe('not-run');
  });

  // Guards against a timer beyond the range of the runtime, which fires at once.
  it.each([2 ** 31, 1e12, Infinity])('answers a caller that waits for %d ms', async (timeoutMs) => {
    const callers = createService();
    await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
    const read = stream.read.bind(stream);
    stream.read = (request) => new ResultAsync(timers.sleep(50, stop.signal).then(() => read(request)));
    expect((await callers.show({ ...REQ, timeoutMs })).kind).toBe('gone');
    store({ job: JOB, kind: 'submit' });
    expect((await callers.cancel({ ...REQ, timeoutMs })).kind).toBe('cancelled');
  });

  // Guards against memory that answered requests keep until the timeout that they stated.
  it('leaves no timer of a request that it has answered', async () => {
    const callers = createService();
    await expect.poll(async () => (await callers.show({ ...REQ, timeoutMs: 1e6 })).kind).toBe('gone');
    expect(timers.pending).toBe(0);
  });

  it('calls a job that the store never takes a bad request, not an outage', async () => {
    const callers = createService();
    stream.maxAppendBytes = 100;
    expect(await callers.submit(REQ, () => ok(SPEC))).toMatchObject({ kind: 'bad-request' });
  });

  // Guards against 410 from a node that the store has just turned away: it acknowledges a cancellation, while the job
  // that another node accepted runs on.
  it.each(['read is lost', 'read does not end'])(
    'tells no caller that a job does not exist while no read began after the request: a %s',
    async (fault) => {
      const callers = createService();
      await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
      const read = stream.read.bind(stream);
      stream.read = () =>
        fault === 'read is lost'
          ? errAsync({ kind: 'lost', message: 'no answer', offset: undefined })
          : new ResultAsync(new Promise(() => undefined));
      store({ job: JOB, kind: 'submit' });
      const notCurrent = { kind: 'not-run', reason: 'state-not-current', retryAfterS: 2 };
      const [cancelled, shown] = await Promise.all([callers.cancel(REQ), callers.show(REQ)]);
      expect([cancelled, shown]).toEqual([notCurrent, notCurrent]);
      stream.read = read;
    },
  );

  it('waits for a read that begins after the request, and finds the job or knows that there is none', async () => {
    const callers = createService();
    await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
    const read = stream.read.bind(stream);
    stream.read = () => errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    const path = '/q/00000bb87a21d94c';
    const answers = [
      callers.cancel({ ...REQ, path, timeoutMs: 2500 }),
      callers.cancel({ ...REQ, timeoutMs: 2500 }),
    ];
    store({ job: JOB, kind: 'submit' });
    stream.read = read;
    expect((await Promise.all(answers)).map(({ kind }) => kind)).toEqual(['gone', 'cancelled']);
  });

  it('leaves a line with the reason and the inputs of a refusal before a job is looked up', async () => {
    const lines: Record<string, unknown>[] = [];
    const log = createRecordingLog(lines);
    const tail = new StreamTail(
      stream,
      { readPauseMs: () => 5, name: 'jobs', retryDelayMs: 5, waitMs: 0 },
      () => undefined,
      timers,
      log,
    );
    const writer = new JobWriter(stream, () => undefined, timers, log, stop.signal);
    const callers = new CallerService(
      jobs,
      tail,
      writer,
      timers,
      log,
      new NodeMetrics(),
      new SubmissionBudget(submissionBytes),
      () => 0,
    );
    await callers.submit(REQ, () => ok(SPEC));
    callers.cfg = CONFIG;
    await callers.show(REQ);
    await callers.cancel({ ...REQ, host: 'x' });
    const refused = lines.filter((line) => line.msg === 'request refused');
    expect(refused).toMatchObject([
      { answer: { reason: 'no-configuration' }, call: 'submit', host: 'h', job: ID, path: REQ.path },
      { answer: { reason: 'state-not-current' }, call: 'show', cfgVersion: 1, job: ID },
      { answer: { kind: 'unknown-queue' }, call: 'cancel', host: 'x' },
    ]);
  });

  it('answers only what is certain of a job while the tail has read a part of the stream', async () => {
    const otherId = '00000bb87a21d94c';
    stream.pageSize = 1;
    stream.newestFaults = [false, false, ...Array.from({ length: 1000 }, () => true)];
    const record = {
      job: { acceptedAt: 0, id: ID, pool: 'p', queue: 'quick', spec: SPEC },
      kind: 'submit',
    } as const;
    const other = { ...record, job: { ...record.job, id: otherId } };
    const end = { id: otherId, kind: 'state', state: 'completed' } as const;
    const running = { id: ID, kind: 'state', state: 'running' } as const;
    [record, other, end, running].flatMap(encodeJobRecord).forEach((item, offset) => {
      stream.records.push({ ...item, offset });
    });
    const callers = createService();
    await expect.poll(() => jobs.size).toBe(2);
    await expect.poll(() => jobs.stateOf(otherId)).toBe('completed');
    expect(await callers.show({ ...REQ, path: `/q/${otherId}` })).toEqual({
      kind: 'state',
      state: 'completed',
    });
    expect(jobs.stateOf(ID)).toBe('queued');
    const notCurrent = { kind: 'not-run', reason: 'state-not-current' };
    expect(await callers.show(REQ)).toMatchObject(notCurrent);
    expect(await callers.show({ ...REQ, path: '/q/00000bb87a21d94d' })).toMatchObject(notCurrent);
    expect((await callers.submit(REQ, () => ok(SPEC))).kind).toBe('accepted');
  });
});
