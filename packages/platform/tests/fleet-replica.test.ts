import type { FleetSource, LogPage, PlatformError } from '@sequoiaquay/platform';
import type { ResultAsync } from 'neverthrow';
import { emptyFleetState, toSnapshot } from '@sequoiaquay/core';
import { FleetReplica, LogFleetSource } from '@sequoiaquay/platform';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { ResultAsync as Async, errAsync, okAsync } from 'neverthrow';
import { setTimeout as delay } from 'node:timers/promises';
import { Maybe } from 'true-myth';
import { afterEach, describe, expect, it } from 'vitest';

const LOST: PlatformError = {
  cause: Maybe.nothing(),
  kind: 'lost',
  message: 'down',
  oldest: Maybe.nothing(),
  status: Maybe.nothing(),
};
const SETTINGS = { maxSourceAgeMs: 100, preferredMs: 20, retryMs: 5, waitMs: 50 };

/** Fake source with `end` records of an unknown kind; the records below `oldest` are trimmed. */
class FakeSource implements FleetSource {
  ageMs: number | undefined;
  down = false;
  end = 0;
  /** Number of records omitted from the start of pages that are requested from below `oldest`. */
  gap = 0;
  reads = 0;

  constructor(
    readonly name: string,
    public oldest = 0,
  ) {}

  bootstrap(): ReturnType<FleetSource['bootstrap']> {
    return this.down ? errAsync(LOST) : okAsync(toSnapshot({ ...emptyFleetState(), next: this.oldest }));
  }

  read(from: number, waitMs: number): ResultAsync<LogPage, PlatformError> {
    this.reads += 1;
    if (this.down) {
      return errAsync(LOST);
    }
    const first = from < this.oldest ? from + this.gap : from;
    const records = Array.from({ length: Math.max(0, this.end - first) }, (_, index) => ({
      offset: first + index,
      value: { id: `x${first + index}`, kind: 'newer-kind' },
    }));
    const page = { end: this.end, oldest: this.oldest, records, sourceAgeMs: this.ageMs };
    return Async.fromSafePromise(delay(records.length > 0 ? 0 : waitMs, page));
  }
}

let stop = new AbortController();

function start(...sources: FleetSource[]): FleetReplica {
  stop = new AbortController();
  const replica = new FleetReplica(() => sources, SETTINGS, new SystemTimerService());
  void replica.run(stop.signal);
  return replica;
}

afterEach(() => {
  stop.abort();
});

describe('FleetReplica', () => {
  it('bootstraps from the peer with the highest offset and reports its age when the log is down', async () => {
    const [log, behind, ahead] = [
      new FakeSource('log'),
      new FakeSource('behind', 3),
      new FakeSource('ahead', 9),
    ];
    log.down = true;
    behind.ageMs = 5000;
    ahead.ageMs = 5000;
    const replica = start(log, behind, ahead);
    await eventually(() => replica.ageMs !== undefined);
    expect(replica.state.next).toBe(9);
    expect(replica.ageMs).toBeGreaterThanOrEqual(5000);
  });

  it('returns to the log once it responds, so that controls do not keep following one another', async () => {
    const [log, peer] = [new FakeSource('log'), new FakeSource('peer')];
    log.down = true;
    peer.ageMs = 0;
    const replica = start(log, peer);
    await delay(60);
    log.down = false;
    log.end = 4;
    await eventually(() => replica.state.next === 4);
    const readsBefore = log.reads;
    await delay(120);
    expect(log.reads).toBeGreaterThan(readsBefore);
  });

  it('switches from a stale source to a fresh one', async () => {
    const [stale, fresh] = [new FakeSource('stale'), new FakeSource('fresh')];
    stale.ageMs = 1000;
    fresh.ageMs = 0;
    fresh.end = 5;
    const replica = start(stale, fresh);
    await eventually(() => replica.state.next === 5);
  });

  it('bootstraps again from a snapshot if records before a page are missing', async () => {
    const log = new FakeSource('log');
    log.end = 2;
    const replica = start(log);
    await eventually(() => replica.state.next === 2);
    log.gap = 5;
    log.oldest = 10;
    log.end = 12;
    await eventually(() => replica.state.next === 12);
    expect(replica.counters).toMatchObject({ restored: 1 });
  });

  it('fails to bootstrap from a trimmed log without a snapshot that covers the trimmed records', async () => {
    const page = { end: 12, oldest: 10, records: [{ offset: 10, value: { kind: 'snapshot', state: {} } }] };
    const log = {
      append: () => errAsync(LOST),
      read: () => okAsync<LogPage, PlatformError>({ ...page, end: 11 }),
    };
    const result = await new LogFleetSource(log).bootstrap(new AbortController().signal);
    expect(result.isErr()).toBe(true);
  });
});

async function eventually(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 100 && !check(); tries += 1) {
    await delay(5);
  }
  expect(check()).toBe(true);
}
