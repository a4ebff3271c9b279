import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster } from './support/cluster';
import { LogRecorder } from './support/log-recorder';

const TEAM = 'voyages';
const ENTRY_COUNT = 4;
const SEED = 8;
const RETENTION_RECORDS = 30;
const IN_FORCE_LIMIT_MS = 4000;
const BUCKETS_MS = [50, 100, 250, 500, 1000, 2000, 4000];

interface Change {
  acceptedAt: number;
  fault: string;
  /** Time from acceptance until the change is in force on each entry, in ms. */
  inForceMs: number[];
  revision: number;
  version: number;
}

let cluster: Cluster;
let log: LogRecorder;
let version = 0;
let revision = 0;
const changes: Change[] = [];
const reversions: string[] = [];

beforeAll(async () => {
  cluster = await Cluster.start({
    controlSettings: { retentionRecords: RETENTION_RECORDS },
    entries: ENTRY_COUNT,
    executors: 1,
    platformArgs: ['--retention', String(RETENTION_RECORDS), '--seed', String(SEED)],
    teams: [TEAM],
  });
  log = new LogRecorder(cluster);
  log.start();
});

afterAll(async () => {
  await cluster.stop();
});

function makeBranch(number: number): unknown {
  const jobs = { [`rev-${number}`]: { repeatable: false, timeoutMs: 1000 } };
  return { pools: { desk: { jobs, minServing: 0 } } };
}

// Returns whether a revision is in force on an entry, or undefined if the entry doesn't answer. Once a
// revision is in force, its job is known and a request without an idempotency key is refused with
// `key-required`.
async function hasRevisionInForce(index: number, number: number): Promise<boolean | undefined> {
  const url = `${cluster.entries[index]?.url ?? ''}/v1/pools/desk/jobs/rev-${number}`;
  try {
    const res = await fetch(url, { body: '{}', method: 'POST', signal: AbortSignal.timeout(1000) });
    const { reason } = (await res.json()) as { reason?: string };
    return reason === 'key-required' ? true : reason?.startsWith('unknown-') === true ? false : undefined;
  } catch {
    return undefined;
  }
}

async function submitRevision(
  controlIndex: number,
  number: number,
  base: number,
): Promise<{ body: Record<string, unknown>; ok: boolean; status: number }> {
  const headers = { 'if-match': String(base) };
  const path = `/settings/${TEAM}`;
  const { body, status } = await cluster.callOperatorApi(
    TEAM,
    'PUT',
    path,
    makeBranch(number),
    headers,
    controlIndex,
  );
  if (status === 200) {
    version = Number(body.version);
  }
  return { body, ok: status === 200, status };
}

async function measureInForce(change: Change, index: number, readySince: () => number): Promise<void> {
  const deadline = Date.now() + 3 * IN_FORCE_LIMIT_MS;
  while (Date.now() < deadline) {
    if ((await hasRevisionInForce(index, change.revision)) === true) {
      change.inForceMs.push(Math.max(0, Date.now() - Math.max(change.acceptedAt, readySince())));
      return;
    }
    await delay(10);
  }
  change.inForceMs.push(Number.POSITIVE_INFINITY);
}

/**
 * Applies one change through a control and measures when it is in force on each entry.
 *
 * @param afterAccept Called once the change is accepted.
 * @param readyAt Returns the time at which an entry became ready; an entry that was restarted is measured
 *   from then on.
 */
async function applyChange(
  fault: string,
  controlIndex: number,
  afterAccept: () => Promise<void> = () => Promise.resolve(),
  readyAt: (index: number) => number = () => 0,
): Promise<Change> {
  revision += 1;
  const { body, ok, status } = await submitRevision(controlIndex, revision, version);
  expect(ok, `${fault}: status ${status}, ${JSON.stringify(body)}`).toBe(true);
  const accepted: Change = { acceptedAt: Date.now(), fault, inForceMs: [], revision, version };
  changes.push(accepted);
  await Promise.all([
    afterAccept(),
    ...cluster.entries.map((_vm, index) => measureInForce(accepted, index, () => readyAt(index))),
  ]);
  await recordReversions(accepted);
  return accepted;
}

// Records entries on which the newest revision is no longer in force, or the one before it is in force again.
async function recordReversions(change: Change): Promise<void> {
  for (let round = 0; round < 5; round += 1) {
    for (const index of cluster.entries.keys()) {
      const [newest, former] = [
        await hasRevisionInForce(index, change.revision),
        await hasRevisionInForce(index, change.revision - 1),
      ];
      if (newest === false || former === true) {
        reversions.push(`entry-${index} at revision ${change.revision} (${change.fault})`);
      }
    }
    await delay(50);
  }
}

// Returns the ids of the settings changes that the log currently holds.
async function listSettingsRecordIds(): Promise<string[]> {
  const stored = await cluster.callAdminApi<{ records: { value: { id: string; kind: string } }[] }>(
    'GET',
    '/streams/fleet',
  );
  return stored.records
    .map(({ value }) => value)
    .filter(({ kind }) => kind === 'settings-apply')
    .map(({ id }) => id);
}

function setFaults(values: {
  down?: boolean;
  loseAppendAnswers?: number;
  slowMs?: number;
}): Promise<unknown> {
  return cluster.callAdminApi('PUT', '/faults', values);
}

// Guards invariant 8: an accepted change is in force on every entry within 4 s and never reverts. Lost
// answers, outages of the log, frozen controls and restarts could delay a change or bring back an older
// state.
describe('settings in force, seed 8', () => {
  it('applies changes through every control without faults', async () => {
    for (let round = 0; round < 8; round += 1) {
      await applyChange('none', round % ENTRY_COUNT);
    }
  });

  it('applies changes when append answers are lost', async () => {
    await setFaults({ loseAppendAnswers: 0.5 });
    for (let round = 0; round < 8; round += 1) {
      await applyChange('lost answers', round % ENTRY_COUNT);
    }
    await setFaults({});
  });

  it('applies changes when the log fails right after the append', async () => {
    for (let round = 0; round < 4; round += 1) {
      await applyChange('outage after append', round % ENTRY_COUNT, async () => {
        await setFaults({ down: true });
        await delay(2500);
        await setFaults({});
      });
    }
  });

  it('applies changes when a control is frozen and resumes with stale state', async () => {
    for (let round = 0; round < 4; round += 1) {
      const control = cluster.entries[round % ENTRY_COUNT]?.control;
      control?.freeze();
      await applyChange('frozen control', (round + 1) % ENTRY_COUNT);
      control?.resume();
      await delay(300);
      await applyChange('after a frozen control', round % ENTRY_COUNT);
    }
  });

  it('applies changes while all controls and entries are restarted one after another', async () => {
    const readyAt = cluster.entries.map(() => 0);
    for (const [index, vm] of cluster.entries.entries()) {
      await vm.entry.stop(index % 2 === 0 ? 'SIGTERM' : 'SIGKILL');
      // Counts as 0 ms when the change is in force on the entry before its readiness is observed.
      readyAt[index] = Number.POSITIVE_INFINITY;
      const restart = async (): Promise<void> => {
        await cluster.restartReadyEntry(index);
        readyAt[index] = Date.now();
      };
      await applyChange('entry restart', index, restart, (at) => readyAt[at] ?? 0);
      await vm.control.stop();
      await applyChange('control killed', (index + 1) % ENTRY_COUNT);
      await cluster.restartControl(index);
    }
  });

  it('starts an entry during an outage from the peer with the highest offset', async () => {
    await cluster.entries[0]?.control.stop();
    const change = await applyChange('entry and control start in an outage', 1);
    await cluster.entries[0]?.entry.stop();
    await setFaults({ down: true });
    await Promise.all([cluster.restartControl(0), cluster.restartReadyEntry(0)]);
    expect(await hasRevisionInForce(0, change.revision)).toBe(true);
    await setFaults({});
    await applyChange('after the outage', 0);
  });

  it('accepts one of two concurrent changes of a branch and applies nothing of the other', async () => {
    for (let round = 0; round < 6; round += 1) {
      const concurrent = [revision + 1, revision + 2];
      const base = version;
      const answers = await Promise.all(
        concurrent.map((number, index) => submitRevision((round + index) % ENTRY_COUNT, number, base)),
      );
      expect(answers.map((answer) => answer.status).sort()).toEqual([200, 409]);
      const acceptedRevision = concurrent[answers.findIndex((answer) => answer.ok)] ?? 0;
      const refusedRevision = concurrent[answers.findIndex((answer) => !answer.ok)] ?? 0;
      const change = {
        acceptedAt: Date.now(),
        fault: 'two operators',
        inForceMs: [],
        revision: acceptedRevision,
        version,
      };
      changes.push(change);
      await Promise.all(cluster.entries.map((_vm, index) => measureInForce(change, index, () => 0)));
      const refusedInForce = await Promise.all(
        cluster.entries.map((_vm, index) => hasRevisionInForce(index, refusedRevision)),
      );
      expect(refusedInForce).toEqual(cluster.entries.map(() => false));
      revision += 2;
    }
  });

  it('stores nothing of a change that the schema refuses', async () => {
    const before = await listSettingsRecordIds();
    const bad = { pools: { desk: { jobs: {}, minServing: -1 } } };
    const answer = await cluster.callOperatorApi(TEAM, 'PUT', `/settings/${TEAM}`, bad, {
      'if-match': String(version),
    });
    expect(answer.status).toBe(422);
    await delay(200);
    // Old records may be trimmed in the meantime, but no record may be added.
    expect(before).toEqual(expect.arrayContaining(await listSettingsRecordIds()));
  });

  it('has every change of the log in force on every entry within 4 s, without reversions', async () => {
    await log.finish();
    printHistogram();
    const slow = changes.filter((change) => change.inForceMs.some((ms) => ms > IN_FORCE_LIMIT_MS));
    expect(slow).toEqual([]);
    expect(reversions).toEqual([]);
    const accepted: number[] = [];
    let snapshots = 0;
    const state = log.replay((_state, offset, _value, result) => {
      if (result.isOk() && result.value.kind === 'settings-apply') {
        accepted.push(offset + 1);
      }
      snapshots += result.isOk() && result.value.kind === 'snapshot' ? 1 : 0;
    });
    expect(accepted).toEqual(changes.map((change) => change.version));
    expect(state.branches.get(TEAM)?.value.pools.desk?.jobs).toHaveProperty(
      `rev-${changes.at(-1)?.revision ?? 0}`,
    );
    // Without trimming, no process would start from a snapshot.
    const { oldest } = await cluster.callAdminApi<{ oldest: number }>('GET', '/streams/fleet');
    expect(oldest).toBeGreaterThan(RETENTION_RECORDS);
    expect(snapshots).toBeGreaterThan(2);
  });
});

function printHistogram(): void {
  const last = changes.map((change) => Math.max(...change.inForceMs)).sort((a, b) => a - b);
  const buckets = BUCKETS_MS.map((limit) => `<=${limit} ms: ${last.filter((ms) => ms <= limit).length}`);
  const worst = new Map<string, number>();
  for (const change of changes) {
    worst.set(change.fault, Math.max(worst.get(change.fault) ?? 0, ...change.inForceMs));
  }
  console.log(`seed ${SEED}, ${last.length} changes, accept to in force on the last entry`);
  console.log(buckets.join(', '));
  console.log(`median ${last[Math.floor(last.length / 2)] ?? 0} ms, longest ${last.at(-1) ?? 0} ms`);
  console.log(JSON.stringify(Object.fromEntries(worst)));
}
