/** Most bytes of a call of one node to another. */
export const MAX_CALL_BYTES = 262_144;

/** Most records in a call. */
export const MAX_CALL_RECORDS = 200;

/** Longest time limit of a call, in ms. */
export const MAX_CALL_MS = 900;

/** Most records of other nodes that wait on the leader, and their bytes. */
export const MAX_WAITING_RECORDS = 1000;
export const MAX_WAITING_BYTES = 2_000_000;
