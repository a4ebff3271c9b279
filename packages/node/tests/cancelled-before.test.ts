import type { JobRecord, JobSpec, KeyedRecord } from '@sequoiaquay/core/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerRequest } from '../src/caller-answer';
import { accessConfig, workspace } from '../../core/tests/jobs/support/access-config';
import { step } from '../../core/tests/jobs/support/jobs';
import { CallerService } from '../src/caller-service';
import { JobWriter } from '../src/job-writer';
import { NodeMetrics } from '../src/node-metrics';
import { StreamTail } from '../src/stream-tail';
import { SubmissionBudget } from '../src/submission-budget';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const ID = '00000bb87a21d94b';
const SPEC: JobSpec = { body: 'work', steps: [step()] };
const CONFIG = accessConfig([workspace('voyages', 'secret-v'), workspace('harbour', 'secret-h')]);

/** Most ids of unknown jobs whose cancellation is kept. */
const MAX_WITHDRAWN_IDS = 10_000;

/** Stream of which an append gets no answer and is carried out later. */
class LateStream extends MemoryStream {
  #isLosing = false;
  readonly #late: KeyedRecord[][] = [];

  override append(req: Parameters<MemoryStream['append']>[0]): ReturnType<MemoryStream['append']> {
    if (this.#isLosing) {
      this.#late.push([...req.records]);
      this.faults = ['lost-before'];
    }
    return super.append(req);
  }

  loseAppends(): void {
    this.#isLosing = true;
  }

  answerAppends(): void {
    this.#isLosing = false;
  }

  carryOutLost(): void {
    for (const record of this.#late.splice(0).flat()) {
      this.records.push({ ...record, offset: this.records.length });
    }
  }
}

interface NodeDouble {
  callers: CallerService;
  jobs: JobTable;
}

function requestOf(parts: Partial<CallerRequest> = {}): CallerRequest {
  return { apiKey: 'secret-v', host: 'h', path: `/open/${ID}`, timeoutMs: 600, ...parts };
}

// Guards against a job that starts after its cancelling was acknowledged, when the lost write of its submission comes.
describe('the cancellation of a job that no node knows', () => {
  const timers = new SystemTimerService();
  let stop = new AbortController();
  let stream = new LateStream();

  beforeEach(() => {
    stop = new AbortController();
    stream = new LateStream();
  });

  afterEach(() => {
    stop.abort();
  });

  async function startNode(): Promise<NodeDouble> {
    const jobs = new JobTable();
    const apply = (record: JobRecord): void => {
      jobs.apply(record);
    };
    const tail = new StreamTail(
      stream,
      { name: 'jobs', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 },
      ({ key, value }) => {
        apply(decodeJobRecord(key, value)._unsafeUnwrap());
      },
      timers,
      quietLog,
    );
    void tail.run(stop.signal);
    await tail.catchUp(stop.signal);
    const writer = new JobWriter(stream, apply, timers, quietLog, stop.signal);
    const submissions = new SubmissionBudget(1_000_000);
    const metrics = new NodeMetrics();
    const callers = new CallerService(jobs, tail, writer, timers, quietLog, metrics, submissions, () => 0);
    callers.cfg = CONFIG;
    return { callers, jobs };
  }

  async function submitWithoutAnswer({ callers }: NodeDouble): Promise<void> {
    stream.loseAppends();
    expect((await callers.submit(requestOf(), () => ok(SPEC))).kind).toBe('unsure');
    stream.answerAppends();
  }

  it('holds against a write that comes later, at every node and after a restart', async () => {
    const nodes = [await startNode(), await startNode()];
    const [first, second] = nodes;
    if (first === undefined || second === undefined) {
      throw new Error('no nodes');
    }
    await submitWithoutAnswer(first);
    expect((await second.callers.cancel(requestOf())).kind).toBe('gone');
    stream.carryOutLost();
    for (const node of [...nodes, await startNode()]) {
      await expect.poll(() => node.jobs.stateOf(ID)).toBe('cancelled');
      expect([...node.jobs.activeJobs()]).toEqual([]);
      expect((await node.callers.show(requestOf())).kind).toBe('state');
    }
  });

  it('is acknowledged only once it is stored', async () => {
    const node = await startNode();
    stream.loseAppends();
    expect((await node.callers.cancel(requestOf())).kind).toBe('unsure');
    stream.answerAppends();
    stream.faults = ['refused', 'refused'];
    expect(await node.callers.cancel(requestOf())).toMatchObject({ reason: 'store-unavailable' });
  });

  it('is stored once, and shows no job that nobody submitted', async () => {
    const node = await startNode();
    expect((await node.callers.cancel(requestOf())).kind).toBe('gone');
    const stored = stream.records.length;
    expect((await node.callers.cancel(requestOf())).kind).toBe('gone');
    expect(stream.records).toHaveLength(stored);
    expect((await node.callers.show(requestOf())).kind).toBe('gone');
  });

  it('keeps a repeat of the submission from being accepted', async () => {
    const node = await startNode();
    await submitWithoutAnswer(node);
    expect((await node.callers.cancel(requestOf())).kind).toBe('gone');
    const answer = await node.callers.submit(requestOf(), () => ok(SPEC));
    expect(answer).toMatchObject({ kind: 'not-run', reason: 'cancelled-before' });
  });

  it('leaves the jobs of other workspaces under the same id alone', async () => {
    const node = await startNode();
    await submitWithoutAnswer(node);
    const other = requestOf({ apiKey: 'secret-h' });
    expect((await node.callers.cancel(other)).kind).toBe('gone');
    stream.carryOutLost();
    await expect.poll(() => node.jobs.stateOf(ID)).toBe('queued');
    expect((await node.callers.cancel(other)).kind).toBe('forbidden');
  });

  it('is refused while as many are kept as there may be', async () => {
    const node = await startNode();
    for (let count = 0; count < MAX_WITHDRAWN_IDS; count += 1) {
      const id = count.toString(16).padStart(16, '0');
      for (const keyed of encodeJobRecord({ id, kind: 'withdraw', workspace: undefined })) {
        stream.records.push({ ...keyed, offset: stream.records.length });
      }
    }
    await expect.poll(() => node.jobs.withdrawnCount).toBe(MAX_WITHDRAWN_IDS);
    expect(await node.callers.cancel(requestOf())).toMatchObject({ reason: 'withdrawals-full' });
    for (const keyed of encodeJobRecord({ id: '0'.repeat(16), kind: 'forget' })) {
      stream.records.push({ ...keyed, offset: stream.records.length });
    }
    await expect.poll(() => node.jobs.withdrawnCount).toBe(MAX_WITHDRAWN_IDS - 1);
    expect((await node.callers.cancel(requestOf())).kind).toBe('gone');
  });
});
