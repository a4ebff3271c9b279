import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from './support/cluster';
import { LogRecorder } from './support/log-recorder';

const TEAM = 'voyages';
const ENTRIES = 4;
const SEED = 8;
const RETENTION = 30;
const IN_FORCE_LIMIT_MS = 4000;
const BUCKETS_MS = [50, 100, 250, 500, 1000, 2000, 4000];

interface Change {
  acceptedAt: number;
  fault: string;
  /** Time from acceptance until each entry follows the change, in ms. */
  inForceMs: number[];
  revision: number;
  version: number;
}

let cluster: Cluster;
let log: LogRecorder;
let version = 0;
let revision = 0;
const changes: Change[] = [];
const reverted: string[] = [];

beforeAll(async () => {
  cluster = await Cluster.start({
    controlSettings: { retentionRecords: RETENTION },
    entries: ENTRIES,
    executors: 1,
    platformArgs: ['--retention', String(RETENTION), '--seed', String(SEED)],
    teams: [TEAM],
  });
  log = new LogRecorder(cluster);
  log.start();
});

afterAll(async () => {
  await cluster.stop();
});

function branchOf(number: number): unknown {
  const jobs = { [`rev-${number}`]: { repeatable: false, timeoutMs: 1000 } };
  return { pools: { desk: { jobs, minServing: 0 } } };
}

// Whether an entry follows a revision: a known job without a key is refused for want of the key.
async function follows(index: number, number: number): Promise<boolean | undefined> {
  const url = `${cluster.entries[index]?.url ?? ''}/v1/pools/desk/jobs/rev-${number}`;
  try {
    const res = await fetch(url, { body: '{}', method: 'POST', signal: AbortSignal.timeout(1000) });
    const { reason } = (await res.json()) as { reason?: string };
    return reason === 'key-required' ? true : reason?.startsWith('unknown-') === true ? false : undefined;
  } catch {
    return undefined;
  }
}

async function submit(
  through: number,
  number: number,
  base: number,
): Promise<{ body: Record<string, unknown>; ok: boolean; status: number }> {
  const headers = { 'if-match': String(base) };
  const path = `/settings/${TEAM}`;
  const { body, status } = await cluster.operate(TEAM, 'PUT', path, branchOf(number), headers, through);
  if (status === 200) {
    version = Number(body.version);
  }
  return { body, ok: status === 200, status };
}

async function watch(change: Change, index: number, since: () => number): Promise<void> {
  const until = Date.now() + 3 * IN_FORCE_LIMIT_MS;
  while (Date.now() < until) {
    if ((await follows(index, change.revision)) === true) {
      change.inForceMs.push(Math.max(0, Date.now() - Math.max(change.acceptedAt, since())));
      return;
    }
    await delay(10);
  }
  change.inForceMs.push(Number.POSITIVE_INFINITY);
}

/** Makes one change through a control and measures when each entry follows it. */
async function change(
  fault: string,
  through: number,
  afterAccept: () => Promise<void> = () => Promise.resolve(),
  readyAt: (index: number) => number = () => 0,
): Promise<Change> {
  revision += 1;
  const { body, ok, status } = await submit(through, revision, version);
  expect(ok, `${fault}: status ${status}, ${JSON.stringify(body)}`).toBe(true);
  const made: Change = { acceptedAt: Date.now(), fault, inForceMs: [], revision, version };
  changes.push(made);
  await Promise.all([
    afterAccept(),
    ...cluster.entries.map((_vm, index) => watch(made, index, () => readyAt(index))),
  ]);
  await noteReverted(made);
  return made;
}

// An entry that follows the newest revision must not follow the one before it.
async function noteReverted(made: Change): Promise<void> {
  for (let round = 0; round < 5; round += 1) {
    for (const index of cluster.entries.keys()) {
      const [newest, former] = [await follows(index, made.revision), await follows(index, made.revision - 1)];
      if (newest === false || former === true) {
        reverted.push(`entry-${index} at revision ${made.revision} (${made.fault})`);
      }
    }
    await delay(50);
  }
}

// Ids of the settings changes that the log holds now.
async function settingsRecords(): Promise<string[]> {
  const stored = await cluster.admin<{ records: { value: { id: string; kind: string } }[] }>(
    'GET',
    '/streams/fleet',
  );
  return stored.records
    .map(({ value }) => value)
    .filter(({ kind }) => kind === 'settings-apply')
    .map(({ id }) => id);
}

function faults(values: { down?: boolean; loseAppendAnswers?: number; slowMs?: number }): Promise<unknown> {
  return cluster.admin('PUT', '/faults', values);
}

// Guards invariant 8: an accepted change is in force on every entry within 4 s and never reverts.
describe('settings in force, seed 8', () => {
  it('without faults, through every control', async () => {
    for (let round = 0; round < 8; round += 1) {
      await change('none', round % ENTRIES);
    }
  });

  it('with lost append answers', async () => {
    await faults({ loseAppendAnswers: 0.5 });
    for (let round = 0; round < 8; round += 1) {
      await change('lost answers', round % ENTRIES);
    }
    await faults({});
  });

  it('with an outage of the log right after the append', async () => {
    for (let round = 0; round < 4; round += 1) {
      await change('outage after append', round % ENTRIES, async () => {
        await faults({ down: true });
        await delay(2500);
        await faults({});
      });
    }
  });

  it('with a control that is frozen and comes back stale', async () => {
    for (let round = 0; round < 4; round += 1) {
      const control = cluster.entries[round % ENTRIES]?.control;
      control?.freeze();
      await change('frozen control', (round + 1) % ENTRIES);
      control?.resume();
      await delay(300);
      await change('after a frozen control', round % ENTRIES);
    }
  });

  it('with restarts of all controls and entries one after another', async () => {
    const readyAt = cluster.entries.map(() => 0);
    for (const [index, vm] of cluster.entries.entries()) {
      await vm.entry.stop(index % 2 === 0 ? 'SIGTERM' : 'SIGKILL');
      // An entry that follows before the test has seen it ready is in time.
      readyAt[index] = Number.POSITIVE_INFINITY;
      const restart = async (): Promise<void> => {
        await cluster.restartReadyEntry(index);
        readyAt[index] = Date.now();
      };
      await change('entry restart', index, restart, (at) => readyAt[at] ?? 0);
      await vm.control.stop();
      await change('control killed', (index + 1) % ENTRIES);
      await cluster.restartControl(index);
    }
  });

  it('starts an entry during an outage from the peer with the highest offset', async () => {
    await cluster.entries[0]?.control.stop();
    const made = await change('entry and control start in an outage', 1);
    await cluster.entries[0]?.entry.stop();
    await faults({ down: true });
    await Promise.all([cluster.restartControl(0), cluster.restartReadyEntry(0)]);
    expect(await follows(0, made.revision)).toBe(true);
    await faults({});
    await change('after the outage', 0);
  });

  it('accepts one of two operators that change a branch at once and leaves nothing of the other', async () => {
    for (let round = 0; round < 6; round += 1) {
      const rivals = [revision + 1, revision + 2];
      const base = version;
      const answers = await Promise.all(
        rivals.map((number, index) => submit((round + index) % ENTRIES, number, base)),
      );
      expect(answers.map((answer) => answer.status).sort()).toEqual([200, 409]);
      const won = rivals[answers.findIndex((answer) => answer.ok)] ?? 0;
      const lost = rivals[answers.findIndex((answer) => !answer.ok)] ?? 0;
      const made = { acceptedAt: Date.now(), fault: 'two operators', inForceMs: [], revision: won, version };
      changes.push(made);
      await Promise.all(cluster.entries.map((_vm, index) => watch(made, index, () => 0)));
      const traces = await Promise.all(cluster.entries.map((_vm, index) => follows(index, lost)));
      expect(traces).toEqual(cluster.entries.map(() => false));
      revision += 2;
    }
  });

  it('leaves nothing of a change that the schema refuses', async () => {
    const before = await settingsRecords();
    const bad = { pools: { desk: { jobs: {}, minServing: -1 } } };
    const answer = await cluster.operate(TEAM, 'PUT', `/settings/${TEAM}`, bad, {
      'if-match': String(version),
    });
    expect(answer.status).toBe(422);
    await delay(200);
    // Old records may be trimmed meanwhile; no new one may appear.
    expect(before).toEqual(expect.arrayContaining(await settingsRecords()));
  });

  it('is in force within 4 s on every entry, never reverts, and the log agrees', async () => {
    await log.finish();
    printHistogram();
    const slow = changes.filter((made) => made.inForceMs.some((ms) => ms > IN_FORCE_LIMIT_MS));
    expect(slow).toEqual([]);
    expect(reverted).toEqual([]);
    const accepted: number[] = [];
    let snapshots = 0;
    const state = log.replay((_state, offset, _value, verdict) => {
      if (verdict.isOk() && verdict.value.kind === 'settings-apply') {
        accepted.push(offset + 1);
      }
      snapshots += verdict.isOk() && verdict.value.kind === 'snapshot' ? 1 : 0;
    });
    expect(accepted).toEqual(changes.map((made) => made.version));
    expect(state.branches.get(TEAM)?.value.pools.desk?.jobs).toHaveProperty(
      `rev-${changes.at(-1)?.revision ?? 0}`,
    );
    // Without trimming, nothing would have been started from a snapshot.
    const { oldest } = await cluster.admin<{ oldest: number }>('GET', '/streams/fleet');
    expect(oldest).toBeGreaterThan(RETENTION);
    expect(snapshots).toBeGreaterThan(2);
  });
});

function printHistogram(): void {
  const last = changes.map((made) => Math.max(...made.inForceMs)).sort((a, b) => a - b);
  const buckets = BUCKETS_MS.map((limit) => `<=${limit} ms: ${last.filter((ms) => ms <= limit).length}`);
  const worst = new Map<string, number>();
  for (const made of changes) {
    worst.set(made.fault, Math.max(worst.get(made.fault) ?? 0, ...made.inForceMs));
  }
  console.log(`seed ${SEED}, ${last.length} changes, accept to in force on the last entry`);
  console.log(buckets.join(', '));
  console.log(`median ${last[Math.floor(last.length / 2)] ?? 0} ms, longest ${last.at(-1) ?? 0} ms`);
  console.log(JSON.stringify(Object.fromEntries(worst)));
}
