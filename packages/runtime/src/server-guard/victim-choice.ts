/** Phases of a connection, as far as the choice of a connection to close depends on them. */
export const CONNECTION_PHASE = {
  /** The body of a request arrives. */
  body: 'body',
  /** All requests have been answered. */
  idle: 'idle',
  /** A request is being carried out; such a connection is never chosen. */
  served: 'served',
  /** No request has arrived since the connection was opened. */
  silent: 'silent',
  /** The client has not taken an answer. */
  unread: 'unread',
} as const;

/** Phase of a connection. */
export type ConnectionPhase = (typeof CONNECTION_PHASE)[keyof typeof CONNECTION_PHASE];

/** What a connection uses, and since when. */
export interface ConnectionUse {
  /** Bytes that are held for its requests. */
  heldBytes: number;
  peer: string;
  phase: ConnectionPhase;
  /** Time at which the phase began, in ms of a monotonic clock; for a body the arrival of its headers. */
  since: number;
}

/**
 * Weights of the phases. Idle connections weigh little, since callers keep them for their next request, which a
 * close could meet. An ordinary client leaves each other phase within milliseconds.
 */
const PHASE_WEIGHT = { body: 8, idle: 1, served: 0, silent: 16, unread: 8 } as const;

/** Added to the time in a phase, in ms, so that size decides between requests of the same moment. */
const AGE_OFFSET_MS = 100;

/**
 * Chooses the connection to close when a further one would exceed the limit; undefined if all are being served.
 * Addresses many connections that are opened and left open: of the peer with the most connections, the one with
 * the longest time in its phase goes, weighted by phase. The choice by peer has no effect while a balancer hides
 * the addresses.
 */
export function chooseConnection<T extends ConnectionUse>(uses: readonly T[], now: number): T | undefined {
  const candidates = uses.filter((use) => use.phase !== CONNECTION_PHASE.served);
  const ofPeer = selectLargestPeer(uses, candidates, () => 1);
  return findMax(ofPeer, (use) => PHASE_WEIGHT[use.phase] * (now - use.since));
}

/**
 * Chooses the connection whose requests are refused when the held bytes exceed the limit; undefined if none is in
 * the phase `body`. Addresses many bodies that are sent up to just before their end and held open: of the peer
 * with the most held bytes, the connection with the largest product of bytes and age goes. An ordinary request
 * is small or ends soon. The age counts from the headers, so that a client can't lower it by sending single bytes.
 */
export function chooseBody<T extends ConnectionUse>(uses: readonly T[], now: number): T | undefined {
  const candidates = uses.filter((use) => use.phase === CONNECTION_PHASE.body);
  const ofPeer = selectLargestPeer(uses, candidates, (use) => use.heldBytes);
  return findMax(ofPeer, (use) => use.heldBytes * (now - use.since + AGE_OFFSET_MS));
}

// The peer with the largest use of those that have a candidate; its whole use counts.
function selectLargestPeer<T extends ConnectionUse>(
  uses: readonly T[],
  candidates: readonly T[],
  amount: (use: T) => number,
): T[] {
  const useByPeer = new Map<string, number>();
  for (const use of uses) {
    useByPeer.set(use.peer, (useByPeer.get(use.peer) ?? 0) + amount(use));
  }
  const largest = findMax(candidates, (use) => useByPeer.get(use.peer) ?? 0)?.peer;
  return candidates.filter((use) => use.peer === largest);
}

function findMax<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const itemScore = score(item);
    if (itemScore > bestScore) {
      best = item;
      bestScore = itemScore;
    }
  }
  return best;
}
