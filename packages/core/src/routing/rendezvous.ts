import { v3 } from 'murmurhash';

/** Returns the owner of a key among candidates by rendezvous hashing; undefined when there are no candidates. */
export function rendezvousOwner(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = v3(`${candidate}/${key}`);
    if (score > bestScore || (score === bestScore && candidate < (best ?? ''))) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
