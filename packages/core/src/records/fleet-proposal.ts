import type { FleetRecord } from './fleet-record';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A fleet record without the fields that its writer fills in. */
export type FleetProposal = DistributiveOmit<FleetRecord, 'at' | 'by' | 'id' | 'v'>;
