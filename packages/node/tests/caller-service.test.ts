import type { FleetConfig, JobSpec } from '@sequoiaquay/core/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { AppendFault } from './support/memory-stream';
import { CallerService } from '../src/caller-service';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const ID = '00000bb87a21d94b';
const REQ = { deadlineMs: 600, host: 'h', path: `/q/${ID}` };
const SPEC: JobSpec = { body: 'work', steps: [] };

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

describe('CallerService', () => {
  const timers = new SystemTimerService();
  let jobs = new JobTable();
  let stop = new AbortController();
  let stream = new MemoryStream();

  beforeEach(() => {
    stop = new AbortController();
    stream = new MemoryStream();
    jobs = new JobTable();
  });

  afterEach(() => {
    stop.abort();
  });

  function service(...faults: AppendFault[]): CallerService {
    const tail = new StreamTail(
      stream,
      { gapMs: () => 5, name: 'jobs', retryMs: 5, waitMs: 0 },
      ({ key, value }) => jobs.apply(decodeJobRecord(key, value)._unsafeUnwrap()),
      timers,
      quietLog,
    );
    void tail.run(stop.signal);
    stream.faults = faults;
    const writer = new JobWriter(stream, (record) => jobs.apply(record), timers, quietLog, stop.signal);
    const made = new CallerService(jobs, tail, writer, timers, quietLog, new NodeMetrics(), stop.signal);
    made.cfg = CONFIG;
    return made;
  }

  it('does not say that a job never runs while an earlier append of it had no answer', async () => {
    const refused = Array.from({ length: 40 }, () => 'refused' as const);
    const callers = service('lost-before', ...refused);
    expect((await callers.submit(REQ, ok(SPEC))).kind).toBe('unsure');
    expect((await callers.submit(REQ, ok(SPEC))).kind).toBe('unsure');
  });

  it('refuses with a time to come back when the store surely took nothing', async () => {
    const callers = service('refused', 'refused');
    const answer = await callers.submit(REQ, ok(SPEC));
    expect(answer).toMatchObject({ kind: 'not-run', reason: 'store-unavailable' });
    expect(stream.records).toEqual([]);
  });

  it('knows no queue for a path or host that no queue has', async () => {
    const callers = service();
    expect((await callers.submit({ ...REQ, host: 'x' }, ok(SPEC))).kind).toBe('unknown-queue');
    expect((await callers.submit({ ...REQ, path: '/q/none' }, ok(SPEC))).kind).toBe('bad-request');
  });

  it('shows a job that another node has accepted a moment ago', async () => {
    const callers = service();
    await expect.poll(async () => (await callers.show(REQ)).kind).toBe('gone');
    const job = { acceptedAt: 0, id: ID, pool: 'p', queue: 'quick', spec: SPEC };
    for (const record of encodeJobRecord({ job, kind: 'submit' })) {
      stream.records.push({ ...record, offset: stream.records.length });
    }
    expect(await callers.show(REQ)).toEqual({ kind: 'state', state: 'queued' });
  });
});
