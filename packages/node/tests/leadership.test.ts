import { decodeJobRecord, encodeTaskRecord, JOB_RECORD } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { TermStart } from '../src/leadership';
import { JobWriter } from '../src/job-writer';
import { Leadership } from '../src/leadership';
import { StreamTail } from '../src/stream-tail';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const SILENCE_MS = 1000;
const SETTINGS = { heartbeatMs: 50, limitMs: 100, silenceMs: SILENCE_MS, spreadMs: 20 };
const TAIL = { gapMs: () => 5, name: 'jobs', retryMs: 5, waitMs: 0 };

const TASK = {
  checkpoint: '',
  failures: 0,
  run: 2,
  state: 'assigned' as const,
  task: '00000000000000a1.0.0.0',
  workerId: 'w1',
};

/** A store with the two streams that nodes share. */
class Store {
  readonly jobs = new MemoryStream();
  readonly runs = new MemoryStream();
}

/** A node that leads by doing nothing. */
class Candidate {
  readonly leadership: Leadership;
  readonly lost: string[] = [];
  readonly process = new AbortController();
  readonly starts: TermStart[] = [];
  readonly stop = new AbortController();

  constructor(store: Store, name: string) {
    const timers = new SystemTimerService();
    const { signal } = this.process;
    const tail = new StreamTail(
      store.jobs,
      TAIL,
      (stored) => {
        const record = decodeJobRecord(stored.key, stored.value)._unsafeUnwrap();
        if (record.kind === JOB_RECORD.leader) {
          this.leadership.onRecord(record);
        }
      },
      timers,
      quietLog,
    );
    const writer = new JobWriter(store.jobs, () => undefined, timers, quietLog, signal);
    this.leadership = new Leadership(
      { ...SETTINGS, node: name },
      store.runs,
      tail,
      writer,
      async (start, _onLost, term) => {
        this.starts.push(start);
        await new Promise((resolve) => {
          term.addEventListener('abort', resolve);
        });
        this.lost.push(name);
      },
      timers,
      quietLog,
    );
    void tail.run(signal);
    void this.leadership.run(this.stop.signal);
    candidates.push(this);
  }

  /** Ends the node without a word, as a loss of power does. */
  kill(): void {
    this.process.abort();
  }
}

let candidates: Candidate[] = [];

afterEach(() => {
  candidates.forEach((candidate) => {
    candidate.stop.abort();
    candidate.process.abort();
  });
  candidates = [];
});

function leading(): Candidate[] {
  return candidates.filter((candidate) => candidate.leadership.ownEpoch !== undefined);
}

// Guards against two leaders that both store assignments, and against a fleet without a leader.
describe('Leadership', () => {
  it('begins a term with what earlier terms stored, under a token above all earlier ones', async () => {
    const store = new Store();
    store.runs.records.push(
      { ...encodeTaskRecord(TASK), offset: 0 },
      { key: 'v.1.vm1', offset: 1, value: '1' },
      { key: 't.unreadable', offset: 2, value: '{' },
    );
    const node = new Candidate(store, 'a');
    await expect.poll(() => node.starts.length).toBe(1);
    expect(node.starts[0]).toMatchObject({ epoch: 4, runsEnd: 4, tasks: [TASK] });
    expect(node.starts[0]?.otherRecords.map((record) => record.key)).toEqual(['v.1.vm1']);
  });

  it('lets one of several candidates lead', async () => {
    const store = new Store();
    for (const name of ['a', 'b', 'c', 'd']) {
      new Candidate(store, name);
    }
    await expect.poll(() => leading().length).toBe(1);
    await delay(2 * SILENCE_MS);
    expect(leading()).toHaveLength(1);
    expect(candidates.flatMap((candidate) => candidate.starts)).toHaveLength(1);
  });

  it('takes over after the silence of a leader that died, not before', async () => {
    const store = new Store();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    const second = new Candidate(store, 'b');
    await delay(SILENCE_MS);
    expect(second.starts).toEqual([]);
    const diedAt = performance.now();
    first.kill();
    await expect.poll(() => second.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(performance.now() - diedAt).toBeGreaterThan(SILENCE_MS - SETTINGS.heartbeatMs);
    expect(second.starts[0]).toMatchObject({ epoch: 2, lastSign: { released: false } });
  });

  it('takes over at once when the leader stops', async () => {
    const store = new Store();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    const second = new Candidate(store, 'b');
    await delay(100);
    const stoppedAt = performance.now();
    first.stop.abort();
    await expect.poll(() => second.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(performance.now() - stoppedAt).toBeLessThan(SILENCE_MS);
    expect(second.starts[0]?.lastSign.released).toBe(true);
  });

  it('ends its term when it hears of a later one', async () => {
    const store = new Store();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    first.leadership.onRecord({ epoch: 9, kind: JOB_RECORD.leader, node: 'b', released: false });
    await expect.poll(() => first.lost).toEqual(['a']);
    expect(first.leadership.ownEpoch).toBeUndefined();
  });

  it('begins no term on records that changed while it read them', async () => {
    const store = new Store();
    store.runs.onPage = () => {
      store.runs.onPage = () => undefined;
      store.runs.records.push({ key: 'leader', offset: 0, value: '{"node":"x"}' });
    };
    const node = new Candidate(store, 'a');
    await expect.poll(() => node.starts.length, { timeout: 5000 }).toBe(1);
    expect(node.starts[0]?.epoch).toBe(2);
  });
});
