/** Reasons for which a proposal is rejected when its record is applied; clients may rely on them. */
export const REFUSAL = {
  badRecord: 'bad-record',
  budget: 'budget',
  duplicateId: 'duplicate-id',
  noChange: 'no-change',
  poolTaken: 'pool-taken',
  staleBase: 'stale-base',
  staleEpoch: 'stale-epoch',
  staleIncarnation: 'stale-incarnation',
  unknownMember: 'unknown-member',
  unknownPool: 'unknown-pool',
  unknownVm: 'unknown-vm',
  waveRunning: 'wave-running',
  wrongPool: 'wrong-pool',
  wrongState: 'wrong-state',
} as const;

/** Reason of a rejected proposal. */
export type RefusalReason = (typeof REFUSAL)[keyof typeof REFUSAL];

/** Reason and details of a rejected proposal. */
export interface FleetRefusal {
  detail: string;
  reason: RefusalReason;
}
