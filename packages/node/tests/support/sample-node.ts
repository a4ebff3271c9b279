import { err, ok } from 'neverthrow';
import type { NodeSettings } from '../../src/node-settings';
import type { FleetCodec } from '../../src/ports/fleet-feed';
import { WORKER } from './sample-job';

/** A codec that knows one worker and no operator. */
export const CODEC: FleetCodec = {
  encodeReport: () => ({ key: '', value: '' }),
  operator: () => err('none'),
  worker: () => ok(WORKER),
  workerId: () => 'w1',
};

/** Settings of a node. */
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
