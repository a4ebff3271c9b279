import { err, ok } from 'neverthrow';
import type { NodeSettings } from '../../src/node-settings';
import type { FleetCodec } from '../../src/ports/fleet-codec';
import { WORKER } from './sample-job';

/** Codec that decodes every registry entry as the same worker, and no operator record. */
export const CODEC: FleetCodec = {
  encodeReport: () => ({ key: '', value: '' }),
  decodeOperatorRecord: () => err('none'),
  decodeWorker: () => ok(WORKER),
  decodeWorkerId: () => 'w1',
};

/** Valid settings of a node. */
export const SETTINGS: NodeSettings = {
  availabilityZone: 'z1',
  bounds: { gracePeriodS: 6, leaseDurationMs: 3000, maxLeaseMs: 4000, stateKeptS: 120 },
  callerAddress: '127.0.0.1:1',
  logLevel: 'info',
  metricsAddress: '127.0.0.1:2',
  name: 'n1',
  readinessAddress: '127.0.0.1:3',
  storeAddress: '127.0.0.1:4',
};
