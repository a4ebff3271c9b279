import type { FleetRecord } from './fleet-record';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** Fleet record without the fields that are added when it is written to the log. */
export type FleetProposal = DistributiveOmit<FleetRecord, 'at' | 'by' | 'id' | 'v'>;
