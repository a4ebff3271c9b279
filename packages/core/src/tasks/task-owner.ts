import { rendezvousOwner } from '../routing/rendezvous';

/** Returns the rank of a member in the rendezvous order of a task: 0 for the owner, -1 when it isn't a candidate. */
export function ownerRank(task: string, member: string, candidates: readonly string[]): number {
  let remaining = candidates;
  for (let rank = 0; remaining.length > 0; rank += 1) {
    const owner = rendezvousOwner(task, remaining);
    if (owner === member) {
      return rank;
    }
    remaining = remaining.filter((candidate) => candidate !== owner);
  }
  return -1;
}
