/** Stable reasons for which the fold rejects a proposal. */
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

/** A proposal that the fold rejected. */
export interface FleetRefusal {
  detail: string;
  reason: RefusalReason;
}
