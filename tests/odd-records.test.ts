import { encodeJobRecord, JOB_RECORD } from '@sequoiaquay/core/jobs';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { job, step } from '../packages/core/tests/jobs/support/jobs';
import { createJobId, NodeCluster } from './support/node-cluster';
import { waitFor } from './support/wait-for';

const SEED = 61;
const NODE_COUNT = 2;
const TIMEOUT_MS = 3000;
const READY_TIMEOUT_MS = 15_000;

/** Largest record that the store takes, in bytes. */
const MAX_RECORD_BYTES = 262_144;

const ENTRY = {
  address: '127.0.0.1:9',
  born: 1,
  capacity: { cpu: 16_000, gpus: 0, mem_mb: 1000 },
  labels: ['a', 'r1'],
  service: 'farm',
  state: 'ready',
  zone: 'z',
};

/** Text of an object in which a field is nested as deep as a record can hold. */
function nestDeep(value: object, field: string): string {
  const depth = Math.floor((MAX_RECORD_BYTES - 2000) / 2);
  const deep = `${'['.repeat(depth)}${']'.repeat(depth)}`;
  return JSON.stringify({ ...value, [field]: 'DEEP' }).replace('"DEEP"', deep);
}

/** Records that no part of the system writes, by topic. */
const ODD_RECORDS: Readonly<Record<string, [key: string, value: string][]>> = {
  'keyed.jobs': [
    ['', 'x'],
    ['leader', 'null'],
    ['leader', nestDeep({}, 'epoch')],
    ['leader-request', '{"epoch":1e999}'],
    ['unknown', 'x'],
    ['j.', '{}'],
    ['j.odd1', nestDeep({}, 'spec')],
    ['r.odd1', '__proto__'],
    ['e.odd1', 'x'.repeat(MAX_RECORD_BYTES - 100)],
    ...[{ count: 1e9 }, { count: 2 ** 52 }, { after: [7] }, { after: [-1] }, { count: 0 }].map(
      (odd, index): [string, string] => {
        const [record] = encodeJobRecord({
          job: { ...job(`00000000000000f${index}`, [step(odd)]), pool: 'farm', queue: 'render' },
          kind: JOB_RECORD.submit,
        });
        return [record?.key ?? '', record?.value ?? ''];
      },
    ),
  ],
  'keyed.op': [
    ['', 'x'],
    ['config', 'null'],
    ['config', nestDeep({ version: 9 }, 'routes')],
    ['wave/1', '{"wave":1,"machines":[],"maximum":0,"duration_s":-1e308}'],
    ['wave/x', nestDeep({}, 'machines')],
  ],
  'keyed.runs': [
    ['', 'x'],
    ['t.', '[]'],
    ['t.odd.0.0.0', '["a",1,"w",0,""]'],
    ['t.__proto__.0.0.0', '["w",1e999,"w",0,""]'],
    ['m.odd', 'x'],
    ['peaks', nestDeep({}, 'x')],
  ],
  'keyed.servers': [
    ['', JSON.stringify(ENTRY)],
    ['\ufffd', JSON.stringify(ENTRY)],
    ['i-1', JSON.stringify({ ...ENTRY, address: '127.0.0.1:99999' })],
    ['i-2', JSON.stringify(ENTRY).replace('16000', '1e999')],
    ['i-3', nestDeep(ENTRY, 'labels')],
    ['i-4', nestDeep(ENTRY, 'extra')],
    ['i-5', JSON.stringify({ ...ENTRY, service: '__proto__' })],
    ['__proto__', JSON.stringify(ENTRY)],
    ...Array.from({ length: 12 }, (_, index): [string, string] => [`deep-${index}`, nestDeep(ENTRY, 'x')]),
  ],
};

let cluster: NodeCluster;
let jobCount = 0;

async function expectToServe(): Promise<void> {
  for (let node = 0; node < NODE_COUNT; node += 1) {
    const id = createJobId(SEED, jobCount);
    jobCount += 1;
    expect((await cluster.submit(node, id, 'work', TIMEOUT_MS)).status).toBe(200);
    const shown = await cluster.show(NODE_COUNT - 1 - node, id, TIMEOUT_MS);
    expect([shown.status, shown.body]).toEqual([200, '{"state":"queued"}']);
  }
}

function countLines(text: string): number {
  return readFileSync(join(cluster.directory, 'processes.log'), 'utf8').split(text).length - 1;
}

// Guards against a record of another writer that ends processes, again after each restart, or stops their readers.
describe('odd records of every topic', () => {
  beforeAll(async () => {
    cluster = await NodeCluster.start({ nodes: NODE_COUNT }, []);
  });

  afterAll(async () => {
    await cluster.stop();
  });

  it('end no process and stop no reader, when they come and when nodes load them', async () => {
    const state = { hasEnded: false };
    void cluster.getNode(0).process.exited.then(() => {
      state.hasEnded = true;
    });
    for (const [topic, records] of Object.entries(ODD_RECORDS)) {
      records.forEach(([key, value]) => {
        cluster.store.append(topic, [{ key, value }]);
      });
      await expectToServe();
    }
    // The store keeps the newest record of a key only.
    cluster.configure();
    expect(state.hasEnded).toBe(false);
    const terms = countLines('"msg":"jobs taken over"');
    await cluster.kill(0, 1);
    cluster.restart(0);
    cluster.restart(1);
    await Promise.all([0, 1].map((index) => cluster.waitUntilReady(index, READY_TIMEOUT_MS)));
    await expectToServe();
    await waitFor('a leader that has taken over', READY_TIMEOUT_MS, () =>
      Promise.resolve(countLines('"msg":"jobs taken over"') > terms || undefined),
    );
    await expectToServe();
    expect(countLines('node ends after an unexpected error')).toBe(0);
    expect(countLines('unexpected error in a term')).toBe(0);
    expect(countLines('"msg":"node starts"')).toBe(2 * NODE_COUNT);
  });
});
