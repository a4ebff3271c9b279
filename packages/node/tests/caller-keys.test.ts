import type { FleetConfig, Job, JobRecord, JobSpec } from '@sequoiaquay/core/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { err, ok, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CallerAnswer, CallerRequest } from '../src/caller-answer';
import { accessConfig, workspace } from '../../core/tests/jobs/support/access-config';
import { step } from '../../core/tests/jobs/support/jobs';
import { CallerService } from '../src/caller-service';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { SubmissionBudget } from '../src/submission-budget';
import { MemoryStream } from './support/memory-stream';
import { createRecordingLog } from './support/recording-log';

const ID = '00000bb87a21d94b';
const SPEC: JobSpec = { body: 'work', steps: [step()] };
const TWO = accessConfig([workspace('voyages', 'secret-v'), workspace('harbour', 'secret-h')]);

/** Age of the configuration up to which a node answers that a key is not known, in ms. */
const MAX_CONFIG_AGE_MS = 2500;

type Call = 'cancel' | 'show' | 'submit';

const CALLS: Call[] = ['submit', 'show', 'cancel'];

function withVersion(cfg: FleetConfig, version: number): FleetConfig {
  return { ...cfg, version };
}

// Guards against requests that are handled without a valid key, and against jobs that a caller of another workspace
// reads, cancels or takes over.
describe('the keys of callers', () => {
  const timers = new SystemTimerService();
  let cfgAgeMs = 0;
  let jobs = new JobTable();
  let lines: Record<string, unknown>[] = [];
  let metrics = new NodeMetrics();
  let stop = new AbortController();
  let stream = new MemoryStream();

  beforeEach(() => {
    cfgAgeMs = 0;
    lines = [];
    metrics = new NodeMetrics();
    stop = new AbortController();
    stream = new MemoryStream();
  });

  afterEach(() => {
    stop.abort();
  });

  async function createService(cfg: FleetConfig | undefined): Promise<CallerService> {
    const log = createRecordingLog(lines);
    const table = new JobTable();
    jobs = table;
    const tail = new StreamTail(
      stream,
      { name: 'jobs', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 },
      ({ key, value }) => table.apply(decodeJobRecord(key, value)._unsafeUnwrap()),
      timers,
      log,
    );
    void tail.run(stop.signal);
    await tail.catchUp(stop.signal);
    const writer = new JobWriter(stream, (record) => table.apply(record), timers, log, stop.signal);
    const submissions = new SubmissionBudget(1_000_000);
    const service = new CallerService(table, tail, writer, timers, log, metrics, submissions, () => cfgAgeMs);
    service.cfg = cfg;
    return service;
  }

  function send(callers: CallerService, call: Call, queue: string, apiKey?: string): Promise<CallerAnswer> {
    const req: CallerRequest = { apiKey, host: 'h', path: `/${queue}/${ID}`, timeoutMs: 600 };
    return call === 'submit' ? callers.submit(req, () => ok(SPEC)) : callers[call](req);
  }

  async function kinds(
    callers: CallerService,
    queue: string,
    apiKey?: string,
  ): Promise<Record<string, string>> {
    const answers: Record<string, string> = {};
    for (const call of CALLS) {
      answers[call] = (await send(callers, call, queue, apiKey)).kind;
    }
    return answers;
  }

  function store(record: JobRecord): void {
    for (const keyed of encodeJobRecord(record)) {
      stream.records.push({ ...keyed, offset: stream.records.length });
    }
  }

  function storeJob(fields: Partial<Job>): void {
    store({
      job: { acceptedAt: 0, id: ID, pool: 'p', queue: 'quick', spec: SPEC, ...fields },
      kind: 'submit',
    });
  }

  function all(kind: string): Record<string, string> {
    return { cancel: kind, show: kind, submit: kind };
  }

  it('are checked in the same order for each call, and nothing of a refused request is stored', async () => {
    const callers = await createService(undefined);
    expect(await kinds(callers, 'none', 'secret-x')).toEqual(all('not-run'));
    callers.cfg = TWO;
    expect(await kinds(callers, 'none', 'secret-x')).toEqual(all('unknown-queue'));
    expect(await kinds(callers, 'quick', 'secret-x')).toEqual(all('unauthorized'));
    expect(await kinds(callers, 'open', 'secret-x')).toEqual(all('unauthorized'));
    expect(await kinds(callers, 'quick')).toEqual(all('unauthorized'));
    expect(stream.records).toEqual([]);
    const bad = { apiKey: 'secret-x', host: 'h', path: '/quick/none', timeoutMs: 600 };
    expect((await callers.submit(bad, () => err('bad'))).kind).toBe('unauthorized');
    expect((await callers.submit({ ...bad, apiKey: 'secret-v' }, () => err('bad'))).kind).toBe('bad-request');
  });

  it.each<[string, string | undefined, string | undefined]>([
    ['quick', 'secret-v', 'voyages'],
    ['open', 'secret-h', 'harbour'],
    ['open', undefined, undefined],
  ])('make a job in queue %s with the key %s one of %s', async (queue, apiKey, owner) => {
    const callers = await createService(TWO);
    expect((await send(callers, 'submit', queue, apiKey)).kind).toBe('accepted');
    const [stored] = stream.records;
    const decoded = decodeJobRecord(stored?.key ?? '', stored?.value)._unsafeUnwrap();
    expect(decoded.kind === 'submit' && decoded.job.workspace).toBe(owner);
    expect(stored?.value).not.toContain('secret');
  });

  it.each([undefined, 'secret-v'])('change nothing without workspaces: %s', async (apiKey) => {
    const callers = await createService(accessConfig(undefined));
    cfgAgeMs = Infinity;
    expect((await send(callers, 'submit', 'quick', apiKey)).kind).toBe('accepted');
    expect(stream.records[0]?.value).not.toContain('workspace');
    expect((await send(callers, 'show', 'quick', 'secret-x')).kind).toBe('state');
    expect((await send(callers, 'cancel', 'quick')).kind).toBe('cancelled');
  });

  it('are those of the configuration in force at the time of each request', async () => {
    const callers = await createService(TWO);
    expect((await send(callers, 'submit', 'quick', 'secret-v')).kind).toBe('accepted');
    expect((await send(callers, 'show', 'quick', 'secret-new')).kind).toBe('unauthorized');
    callers.cfg = withVersion(accessConfig([workspace('voyages', 'secret-new')]), 2);
    expect((await send(callers, 'show', 'quick', 'secret-v')).kind).toBe('unauthorized');
    expect((await send(callers, 'show', 'quick', 'secret-new')).kind).toBe('state');
    callers.cfg = withVersion(accessConfig([]), 3);
    expect((await send(callers, 'show', 'quick', 'secret-new')).kind).toBe('unauthorized');
    callers.cfg = withVersion(accessConfig(undefined), 4);
    expect((await send(callers, 'show', 'quick')).kind).toBe('state');
  });

  it('let only the workspace of a job read, cancel and repeat it, also after a restart of the node', async () => {
    expect((await send(await createService(TWO), 'submit', 'open', 'secret-v')).kind).toBe('accepted');
    const callers = await createService(TWO);
    const stored = stream.records.length;
    expect(await kinds(callers, 'open', 'secret-h')).toEqual(all('forbidden'));
    expect(await kinds(callers, 'open')).toEqual(all('forbidden'));
    expect(stream.records).toHaveLength(stored);
    expect(jobs.get(ID)?.job?.workspace).toBe('voyages');
    expect(await kinds(callers, 'open', 'secret-v')).toEqual({
      cancel: 'cancelled',
      show: 'state',
      submit: 'accepted',
    });
  });

  // Guards against a job whose specification another workspace replaces by a repeat that was not known as one when it
  // came. A node that loads the stream later sees only the newest record of the job.
  it.each(['at the same node', 'at another node'])(
    'leave a job to the workspace whose submission was stored first, with a repeat on its way %s',
    async (where) => {
      const callers = await createService(TWO);
      const first =
        where === 'at the same node'
          ? send(callers, 'submit', 'quick', 'secret-v').then(({ kind }) => kind)
          : Promise.resolve('accepted');
      if (where === 'at another node') {
        const append = stream.append.bind(stream);
        stream.append = (req) => {
          stream.append = append;
          storeJob({ workspace: 'voyages' });
          return ResultAsync.fromSafePromise(expect.poll(() => jobs.size).toBe(1)).andThen(() => append(req));
        };
      }
      const repeat = send(callers, 'submit', 'quick', 'secret-h');
      expect([await first, (await repeat).kind]).toEqual(['accepted', 'forbidden']);
      expect(jobs.get(ID)?.job?.workspace).toBe('voyages');
      await expect.poll(() => stream.records.at(-1)?.value).toContain('voyages');
      const restarted = await createService(TWO);
      expect((await send(restarted, 'show', 'quick', 'secret-h')).kind).toBe('forbidden');
      expect((await send(restarted, 'show', 'quick', 'secret-v')).kind).toBe('state');
    },
  );

  it('leave a job without a workspace to everyone who may use its queue', async () => {
    storeJob({ queue: 'open' });
    const callers = await createService(TWO);
    expect((await send(callers, 'show', 'open')).kind).toBe('state');
    expect((await send(callers, 'show', 'open', 'secret-h')).kind).toBe('state');
    expect((await send(callers, 'cancel', 'open')).kind).toBe('cancelled');
  });

  it('close a job without a workspace to callers who name another queue than its own', async () => {
    storeJob({ queue: 'quick' });
    const callers = await createService(TWO);
    expect(await kinds(callers, 'open')).toEqual(all('forbidden'));
    expect((await send(callers, 'show', 'quick', 'secret-h')).kind).toBe('state');
  });

  it('are not compared with the workspace of a job that has ended', async () => {
    storeJob({ workspace: 'voyages' });
    store({ id: ID, kind: 'state', state: 'completed' });
    const callers = await createService(TWO);
    expect(await send(callers, 'show', 'quick', 'secret-h')).toEqual({ kind: 'state', state: 'completed' });
  });

  it('are called unknown only while a newer configuration would have been read', async () => {
    const callers = await createService(TWO);
    cfgAgeMs = MAX_CONFIG_AGE_MS;
    expect(await kinds(callers, 'quick', 'secret-x')).toEqual(all('unauthorized'));
    cfgAgeMs = MAX_CONFIG_AGE_MS + 1;
    const notCurrent = { kind: 'not-run', reason: 'configuration-not-current', retryAfterS: 2 };
    for (const call of CALLS) {
      expect(await send(callers, call, 'quick', 'secret-x')).toEqual(notCurrent);
      expect(await send(callers, call, 'open', 'secret-x')).toEqual(notCurrent);
      expect(await send(callers, call, 'quick')).toEqual(notCurrent);
      expect((await send(callers, call, 'none', 'secret-x')).kind).toBe('unknown-queue');
    }
    expect((await send(callers, 'submit', 'quick', 'secret-v')).kind).toBe('accepted');
    expect((await send(callers, 'show', 'open', 'secret-h')).kind).toBe('forbidden');
  });

  it('are in no line, and the workspace of a refused request is, cut to a bounded length', async () => {
    const long = 'w'.repeat(10_000);
    const callers = await createService(
      accessConfig([workspace('voyages', 'secret-v'), workspace(long, 'secret-w')]),
    );
    await send(callers, 'submit', 'quick', 'secret-v');
    await kinds(callers, 'quick', 'secret-x');
    await kinds(callers, 'quick', 'secret-w');
    const refused = lines.filter((line) => line.msg === 'request refused');
    expect(refused).toMatchObject([
      ...CALLS.map((call) => ({ answer: { kind: 'unauthorized' }, call, cfgAgeMs: 0, job: ID })),
      ...CALLS.map((call) => ({ answer: { kind: 'forbidden' }, call, workspace: long.slice(0, 128) })),
    ]);
    expect(refused.slice(0, 3).map((line) => line.workspace)).toEqual([undefined, undefined, undefined]);
    expect(JSON.stringify(lines)).not.toContain('secret');
  });

  it('are not given to the metrics, and refused requests are counted by their answers', async () => {
    const callers = await createService(TWO);
    const recorded = vi.spyOn(metrics, 'recordRequest');
    await kinds(callers, 'quick', 'secret-x');
    await send(callers, 'submit', 'quick', 'secret-v');
    await kinds(callers, 'quick', 'secret-h');
    expect(recorded.mock.calls.map(([call, answer]) => [call, answer])).toEqual([
      ...CALLS.map((call) => [call, 'unauthorized']),
      ['submit', 'accepted'],
      ...CALLS.map((call) => [call, 'forbidden']),
    ]);
    expect(JSON.stringify(recorded.mock.calls)).not.toContain('secret');
  });
});
