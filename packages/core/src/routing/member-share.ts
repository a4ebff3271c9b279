import type { TargetSlots } from './choose-target';

/**
 * Returns the slots of each target that one member may use while the owner of the queue is unavailable: the slots
 * of the target divided by the number of members or, when a target has fewer slots than there are members, one slot
 * on a part of the targets. `index` is the member's position among the `members` members.
 */
export function memberShare<T extends TargetSlots>(
  targets: readonly T[],
  index: number,
  members: number,
): T[] {
  const targetsPerMember = Math.ceil(targets.length / Math.max(1, members));
  return targets.flatMap((target, position) => {
    const slots = Math.floor(target.slots / Math.max(1, members));
    if (slots > 0) {
      return [{ ...target, slots }];
    }
    const distance = (position - index * targetsPerMember) % Math.max(1, targets.length);
    const isAssigned = (distance + targets.length) % targets.length < targetsPerMember;
    return isAssigned && target.slots > 0 ? [{ ...target, slots: 1 }] : [];
  });
}
