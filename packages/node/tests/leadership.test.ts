import {
  decodeJobRecord,
  encodeJobRecord,
  encodeTaskRecord,
  isLeadershipRecord,
  JOB_RECORD,
} from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { TermStart } from '../src/leadership';
import { JobWriter } from '../src/job-writer';
import { Leadership } from '../src/leadership';
import { MAX_HEARTBEAT_AGE_MS } from '../src/lease-times';
import { StreamTail } from '../src/stream-tail';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { SUCCESSION } from './support/succession-settings';

const HEARTBEAT_TIMEOUT_MS = 1000;
const SETTINGS = {
  heartbeatIntervalMs: 50,
  heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
  maxElectionDelayMs: 20,
  storeTimeoutMs: 100,
};
const FIT = 1;
const UNFIT = 0.25;
const TAIL_SETTINGS = { name: 'jobs', readPauseMs: () => 5, retryDelayMs: 5, waitMs: 0 };

const TASK = {
  checkpoint: '',
  failures: 0,
  run: 2,
  state: 'assigned' as const,
  task: '00000000000000a1.0.0.0',
  workerId: 'w1',
};

/** Store with the two streams that nodes share. */
class SharedStore {
  readonly jobs = new MemoryStream();
  readonly runs = new MemoryStream();
}

/** Clocks of a machine that can be suspended: only the wall clock counts that time. */
class SuspendableTimers extends SystemTimerService {
  suspendedMs = 0;

  override now(): number {
    return super.now() + this.suspendedMs;
  }
}

/** Node that is a candidate, and does nothing in its terms as leader. */
class Candidate {
  readonly leadership: Leadership;
  /** Names of this node, one for each term that has ended. */
  readonly endedTerms: string[] = [];
  /** Called when the node is to hand over leadership; resolves when its records are stored. */
  onRetire: () => Promise<void> = () => Promise.resolve();
  readonly process = new AbortController();
  readonly starts: TermStart[] = [];
  readonly stop = new AbortController();

  constructor(store: SharedStore, name: string, fitness = FIT, timers = new SystemTimerService()) {
    const { signal } = this.process;
    const tail = new StreamTail(
      store.jobs,
      TAIL_SETTINGS,
      (stored) => {
        const record = decodeJobRecord(stored.key, stored.value)._unsafeUnwrap();
        if (isLeadershipRecord(record)) {
          this.leadership.onRecord(record);
        }
      },
      timers,
      quietLog,
    );
    const writer = new JobWriter(store.jobs, () => undefined, timers, quietLog, signal);
    this.leadership = new Leadership(
      { ...SETTINGS, node: name, succession: { ...SUCCESSION, fitness, node: name } },
      store.runs,
      tail,
      writer,
      async (start, _onLost, term, retire) => {
        this.starts.push(start);
        await new Promise((resolve) => {
          term.addEventListener('abort', resolve);
          retire.addEventListener('abort', () => {
            void this.onRetire().then(resolve);
          });
        });
        this.endedTerms.push(name);
      },
      timers,
      quietLog,
    );
    void tail.run(signal);
    void this.leadership.run(this.stop.signal);
    candidates.push(this);
  }

  /** Ends the node without releasing leadership, as a power failure does. */
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

function currentLeaders(): Candidate[] {
  return candidates.filter((candidate) => candidate.leadership.ownEpoch !== undefined);
}

// Guards against two leaders that both store assignments, and against a fleet that stays without a leader.
describe('Leadership', () => {
  it('starts a term with the records of earlier terms and a higher fencing token', async () => {
    const store = new SharedStore();
    store.runs.records.push(
      { ...encodeTaskRecord(TASK), offset: 0 },
      { key: 'v.1.vm1', offset: 1, value: '1' },
      { key: 't.unreadable', offset: 2, value: '{' },
    );
    const node = new Candidate(store, 'a');
    await expect.poll(() => node.starts.length).toBe(1);
    const [start] = node.starts;
    expect(start).toMatchObject({ epoch: 4, runsEnd: 4 });
    expect([...(start?.tasks.names() ?? [])]).toEqual([TASK.task]);
    expect(start?.tasks.take('00000000000000a1').records).toEqual([TASK]);
    expect(node.starts[0]?.otherRecords.map((record) => record.key)).toEqual(['v.1.vm1']);
  });

  // Guards against orders on a permission that expired while the machine was suspended, before any timer runs.
  it('counts the time for which the machine was suspended as age of the last heartbeat', async () => {
    const timers = new SuspendableTimers();
    const { leadership } = new Candidate(new SharedStore(), 'a', FIT, timers);
    await expect.poll(() => leadership.ownHeartbeatAgeMs).toBeLessThan(1000);
    timers.suspendedMs = 5000;
    expect(leadership.ownHeartbeatAgeMs).toBeGreaterThanOrEqual(5000);
  });

  it('elects exactly one of several candidates', async () => {
    const store = new SharedStore();
    for (const name of ['a', 'b', 'c', 'd']) {
      new Candidate(store, name);
    }
    await expect.poll(() => currentLeaders().length).toBe(1);
    await delay(2 * HEARTBEAT_TIMEOUT_MS);
    expect(currentLeaders()).toHaveLength(1);
    expect(candidates.flatMap((candidate) => candidate.starts)).toHaveLength(1);
  });

  it('elects a new leader once the heartbeats of a crashed leader have timed out, not before', async () => {
    const store = new SharedStore();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    const second = new Candidate(store, 'b');
    await delay(HEARTBEAT_TIMEOUT_MS);
    expect(second.starts).toEqual([]);
    const killedAt = performance.now();
    first.kill();
    await expect.poll(() => second.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(performance.now() - killedAt).toBeGreaterThan(HEARTBEAT_TIMEOUT_MS - SETTINGS.heartbeatIntervalMs);
    expect(second.starts[0]).toMatchObject({ epoch: 2, lastHeartbeat: { released: false } });
  });

  it('elects a new leader before the heartbeat timeout when the leader steps down', async () => {
    const store = new SharedStore();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    const second = new Candidate(store, 'b');
    await delay(100);
    const stoppedAt = performance.now();
    first.stop.abort();
    await expect.poll(() => second.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(performance.now() - stoppedAt).toBeLessThan(HEARTBEAT_TIMEOUT_MS);
    expect(second.starts[0]?.lastHeartbeat.released).toBe(true);
  });

  // Guards against a second run of a task while the lease by a leader that is cut off from the store may last.
  it('counts the leases by the leader before the last one, which released at once', async () => {
    const node = new Candidate(new SharedStore(), 'c');
    const heartbeat = { kind: JOB_RECORD.leader, released: false };
    node.leadership.onRecord({ ...heartbeat, epoch: 8, node: 'a' });
    const readAt = performance.now();
    node.leadership.onRecord({ ...heartbeat, epoch: 9, node: 'b' });
    node.leadership.onRecord({ ...heartbeat, epoch: 9, node: 'b', released: true });
    await expect.poll(() => node.starts[0]?.lastHeartbeat.released).toBe(true);
    const [start] = node.starts;
    expect(start?.olderTermsExtendUntil).toBeGreaterThanOrEqual(readAt + MAX_HEARTBEAT_AGE_MS);
  });

  it('counts no leases by a leader that released before the last one began', async () => {
    const node = new Candidate(new SharedStore(), 'c');
    const heartbeat = { kind: JOB_RECORD.leader, released: false };
    node.leadership.onRecord({ ...heartbeat, epoch: 8, node: 'a' });
    const readAt = performance.now();
    await delay(5);
    node.leadership.onRecord({ ...heartbeat, epoch: 8, node: 'a', released: true });
    node.leadership.onRecord({ ...heartbeat, epoch: 9, node: 'b' });
    node.leadership.onRecord({ ...heartbeat, epoch: 9, node: 'b', released: true });
    await expect.poll(() => node.starts[0]?.lastHeartbeat.released).toBe(true);
    const [start] = node.starts;
    expect(start?.olderTermsExtendUntil).toBeLessThanOrEqual(readAt + MAX_HEARTBEAT_AGE_MS);
  });

  it('ends its term when it reads a heartbeat of a later term', async () => {
    const store = new SharedStore();
    const first = new Candidate(store, 'a');
    await expect.poll(() => first.starts.length).toBe(1);
    first.leadership.onRecord({ epoch: 9, kind: JOB_RECORD.leader, node: 'b', released: false });
    await expect.poll(() => first.endedTerms).toEqual(['a']);
    expect(first.leadership.ownEpoch).toBeUndefined();
  });

  it('starts no term from records that changed while they were read', async () => {
    const store = new SharedStore();
    store.runs.onPage = () => {
      store.runs.onPage = () => undefined;
      store.runs.records.push({ key: 'leader', offset: 0, value: '{"node":"x"}' });
    };
    const node = new Candidate(store, 'a');
    await expect.poll(() => node.starts.length, { timeout: 5000 }).toBe(1);
    expect(node.starts[0]?.epoch).toBe(2);
  });

  it('takes over although pages of the stream of runs fail, and reads none of them again', async () => {
    const store = new SharedStore();
    store.runs.pageSize = 1;
    ['1', '2', '3'].forEach((vm, offset) => {
      store.runs.records.push({ key: `v.1.vm${vm}`, offset, value: vm });
    });
    store.runs.newestFaults = [false, true, false, true, false];
    const node = new Candidate(store, 'a');
    await expect.poll(() => node.starts.length).toBe(1);
    expect(store.runs.newestRequests).toEqual([undefined, 'v.1.vm1', 'v.1.vm1', 'v.1.vm2', 'v.1.vm2']);
    expect(node.starts[0]?.otherRecords).toHaveLength(3);
  });
});

// Guards against leadership that stays with a node whose link or processor is too small for it, and against
// hand-overs that do not end or leave two leaders.
describe('Leadership among nodes of different fitness', () => {
  async function startLeader(store: SharedStore, name: string, fitness: number): Promise<Candidate> {
    const leader = new Candidate(store, name, fitness);
    await expect.poll(() => leader.leadership.ownEpoch, { timeout: 5000 }).toBeDefined();
    return leader;
  }

  function countTerms(): number {
    return candidates.flatMap((candidate) => candidate.starts).length;
  }

  it('moves from a node with a narrow link to one with a wide link', async () => {
    const store = new SharedStore();
    const unfit = await startLeader(store, 'a', UNFIT);
    const fit = new Candidate(store, 'b', FIT);
    await expect.poll(() => fit.leadership.ownEpoch, { interval: 5, timeout: 5000 }).toBe(2);
    expect(unfit.endedTerms).toEqual(['a']);
    expect(fit.starts[0]?.lastHeartbeat.released).toBe(true);
    await delay(HEARTBEAT_TIMEOUT_MS);
    expect(currentLeaders()).toEqual([fit]);
    expect(countTerms()).toBe(2);
  });

  it('stays with a node with a narrow link that is alone', async () => {
    const store = new SharedStore();
    const fit = await startLeader(store, 'a', FIT);
    const unfit = new Candidate(store, 'b', UNFIT);
    await delay(100);
    const killedAt = performance.now();
    fit.kill();
    await expect.poll(() => unfit.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    const { maxElectionDelayMs } = SETTINGS;
    const longest = HEARTBEAT_TIMEOUT_MS + SUCCESSION.maxUnfitDelayMs + 2 * maxElectionDelayMs;
    expect(performance.now() - killedAt).toBeLessThan(longest + 500);
    await delay(HEARTBEAT_TIMEOUT_MS);
    expect(unfit.leadership.ownEpoch).toBe(2);
  });

  it('goes to a fit node, not to one of several unfit nodes, when the fit leader crashes', async () => {
    const store = new SharedStore();
    const first = await startLeader(store, 'a', FIT);
    for (const name of ['b', 'c', 'd', 'e', 'f']) {
      new Candidate(store, name, UNFIT);
    }
    const fit = new Candidate(store, 'g', FIT);
    await delay(100);
    first.kill();
    await expect.poll(countTerms, { interval: 5, timeout: 5000 }).toBe(2);
    expect(fit.starts).toHaveLength(1);
  });

  it('is never handed over between equal nodes', async () => {
    const store = new SharedStore();
    const first = await startLeader(store, 'a', UNFIT);
    for (const name of ['b', 'c', 'd']) {
      new Candidate(store, name, UNFIT);
    }
    await delay(3 * HEARTBEAT_TIMEOUT_MS);
    expect(currentLeaders()).toEqual([first]);
    expect(countTerms()).toBe(1);
    expect(store.jobs.records.filter((record) => record.key === 'leader-request')).toEqual([]);
  });

  it('is handed over once when two fit nodes request it at the same time', async () => {
    const store = new SharedStore();
    await startLeader(store, 'a', UNFIT);
    await delay(SUCCESSION.minTermMs);
    for (const node of ['b', 'c']) {
      new Candidate(store, node, FIT);
      const request = { epoch: 1, fitness: FIT, kind: JOB_RECORD.leaderRequest, node } as const;
      for (const record of encodeJobRecord(request)) {
        store.jobs.records.push({ ...record, offset: store.jobs.records.length });
      }
    }
    await expect.poll(countTerms, { timeout: 5000 }).toBe(2);
    await delay(2 * HEARTBEAT_TIMEOUT_MS);
    expect(currentLeaders()).toHaveLength(1);
    expect(countTerms()).toBe(2);
    const releases = store.jobs.records.filter(
      (record) => record.value?.includes('"released":true') === true,
    );
    expect(releases).toHaveLength(1);
  });

  it('goes to another node soon when the named successor is gone', async () => {
    const store = new SharedStore();
    const unfit = await startLeader(store, 'a', UNFIT);
    await delay(SUCCESSION.minTermMs);
    const request = { epoch: 1, fitness: FIT, kind: JOB_RECORD.leaderRequest, node: 'z' } as const;
    unfit.leadership.onRecord(request);
    const requestedAt = performance.now();
    await expect.poll(countTerms, { interval: 5, timeout: 5000 }).toBe(2);
    expect(performance.now() - requestedAt).toBeLessThan(2 * HEARTBEAT_TIMEOUT_MS);
  });

  it('is released only once the term has stored its records', async () => {
    const store = new SharedStore();
    const unfit = await startLeader(store, 'a', UNFIT);
    const fit = new Candidate(store, 'b', FIT);
    const order: string[] = [];
    unfit.onRetire = async () => {
      order.push('retired');
      await delay(100);
      expect(fit.starts).toEqual([]);
      order.push('stored');
    };
    await expect.poll(() => fit.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(order).toEqual(['retired', 'stored']);
  });

  it('is released after a limit when the records of the term cannot be stored', async () => {
    const store = new SharedStore();
    const unfit = await startLeader(store, 'a', UNFIT);
    const fit = new Candidate(store, 'b', FIT);
    unfit.onRetire = () => new Promise(() => undefined);
    await expect.poll(() => fit.starts.length, { interval: 5, timeout: 5000 }).toBe(1);
    expect(unfit.endedTerms).toEqual(['a']);
    expect(fit.starts[0]?.lastHeartbeat.released).toBe(true);
  });
});
