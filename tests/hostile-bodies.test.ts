import { afterEach, describe, it } from 'vitest';
import type { AttackKind } from './support/attack-load';
import { DECODED_ATTACK } from './support/decoded-attack';
import {
  attack,
  expectServed,
  LIMITS,
  SMALLEST_MACHINE,
  STORE_LIMITS,
  TEST_TIMEOUT_MS,
} from './support/hostile-run';
import { NodeCluster } from './support/node-cluster';

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
});
