import { rendezvousOwner } from '../routing/rendezvous';

/** Place of a member in the rendezvous order of a task, 0 for the owner; -1 when it isn't a candidate. */
export function ownerRank(task: string, member: string, candidates: readonly string[]): number {
  let left = candidates;
  for (let rank = 0; left.length > 0; rank += 1) {
    const owner = rendezvousOwner(task, left);
    if (owner === member) {
      return rank;
    }
    left = left.filter((candidate) => candidate !== owner);
  }
  return -1;
}
