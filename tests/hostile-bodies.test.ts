import { afterEach, describe, expect, it } from 'vitest';
import type { AttackKind } from './support/attack-load';
import { createManyStepJobs, DECODED_ATTACK, LONG_TEXT_JOBS } from './support/decoded-attack';
import {
  ANSWER_TIMEOUT_MS,
  attack,
  expectServed,
  expectWithinMachine,
  LIMITS,
  SMALLEST_MACHINE,
  STORE_LIMITS,
  TEST_TIMEOUT_MS,
} from './support/hostile-run';
import { NodeCluster } from './support/node-cluster';

/** Duration of an append while the store is slow, in ms. */
const SLOW_APPEND_MS = 600;

const JOB_CROWD = 300;

let cluster: NodeCluster;

afterEach(async () => {
  await cluster.stop();
});

async function startNode(): Promise<void> {
  const settings = { ...SMALLEST_MACHINE, ...STORE_LIMITS };
  cluster = await NodeCluster.start({ limits: LIMITS, nodes: 1, settings }, []);
}

// Guards against bodies inside the limits whose values, problems or answers outgrow the machine.
describe('whole bodies', () => {
  it.each(Object.entries<AttackKind>(DECODED_ATTACK))(
    'leave the callers served once they are decoded: %s',
    async (_, kind) => {
      await startNode();
      expectServed(await attack(cluster, 0, 'callerPort', [kind]));
    },
    TEST_TIMEOUT_MS,
  );

  // Each small body becomes a job of half a megabyte, which is held until the store has taken it.
  it(
    'leave the node within its machine: jobs of many steps while the store is slow',
    async () => {
      await startNode();
      cluster.store.setFaults({ appendMs: SLOW_APPEND_MS });
      const outcome = await attack(cluster, 0, 'callerPort', [createManyStepJobs(JOB_CROWD)]);
      expectWithinMachine(outcome);
      for (const status of outcome.answers) {
        expect.soft([200, 503]).toContain(status);
      }
      cluster.store.setFaults({});
      const { status } = await cluster.show(0, '00000000000000ff', ANSWER_TIMEOUT_MS);
      expect.soft([200, 410]).toContain(status);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'leave the node within its machine: jobs with long texts in their steps',
    async () => {
      await startNode();
      expectServed(await attack(cluster, 0, 'callerPort', [LONG_TEXT_JOBS]));
      const { status } = await cluster.show(0, '00000000000000ff', ANSWER_TIMEOUT_MS);
      expect.soft(status).toBe(410);
    },
    TEST_TIMEOUT_MS,
  );
});
