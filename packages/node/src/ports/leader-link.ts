import type { ResultAsync } from 'neverthrow';

/** Outcomes of a record that the leader was asked to store. */
export const PEER_OUTCOME = {
  /** Certainly not stored, since too many records wait on the leader. */
  full: 'full',
  /** Certainly not stored. */
  refused: 'refused',
  /** Certainly not stored, since the store does not take such a record. */
  rejected: 'rejected',
  stored: 'stored',
  /** Possibly stored, now or later. */
  unknown: 'unknown',
} as const;

/** Outcome of a record that the leader was asked to store. */
export type PeerOutcome = (typeof PEER_OUTCOME)[keyof typeof PEER_OUTCOME];

/** Kinds of failure of a call to the leader. */
export const LEADER_FAILURE = {
  /** The leader has too many calls in progress; certainly not carried out. */
  busy: 'busy',
  /** No usable answer: the call may have been carried out, or may still be. */
  lost: 'lost',
  /** The node does not lead the term; certainly not carried out. */
  notLeading: 'not-leading',
  /** Not sent, or refused before it was carried out. */
  refused: 'refused',
} as const;

/** Failure of a call to the leader. */
export interface LeaderCallError {
  kind: (typeof LEADER_FAILURE)[keyof typeof LEADER_FAILURE];
  message: string;
}

/** Leader to call. */
export interface LeaderTarget {
  address: string;
  /** Fencing token of its term. */
  epoch: number;
  /** Secret of its term. Never logged. */
  secret: string;
}

/** Record of a job as a key-value pair; only the first pair of a submission or a cancellation is sent. */
export interface PeerRecord {
  key: string;
  value: string;
}

/** Arguments of a call that stores records. */
export interface StoreCall {
  /** Limit of the call, in ms. */
  limitMs: number;
  records: readonly PeerRecord[];
  signal: AbortSignal;
  target: LeaderTarget;
}

/** Answer of the leader to a call that stores records. */
export interface StoreAnswer {
  /** Appends of the leader in a row that were fast. */
  fastAppends: number;
  /** Outcomes in the order of the records. */
  outcomes: PeerOutcome[];
}

/** Calls from a node to the leader. */
export interface LeaderLink {
  /** Asks whether the node leads the term of the target and reads the store. The limit is in ms. */
  confirm: (
    target: LeaderTarget,
    limitMs: number,
    signal: AbortSignal,
  ) => ResultAsync<boolean, LeaderCallError>;
  /** Asks the leader to store records. */
  store: (call: StoreCall) => ResultAsync<StoreAnswer, LeaderCallError>;
}
