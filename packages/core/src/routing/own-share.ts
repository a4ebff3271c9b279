import type { TargetSlots } from './choose-target';

/**
 * Slots of each target that one of several members may use without the owner of the queue: the slots divided by
 * the members, or one slot on some of the targets when there are fewer slots than members.
 */
export function ownShare<T extends TargetSlots>(targets: readonly T[], index: number, members: number): T[] {
  const perMember = Math.ceil(targets.length / Math.max(1, members));
  return targets.flatMap((target, position) => {
    const slots = Math.floor(target.slots / Math.max(1, members));
    if (slots > 0) {
      return [{ ...target, slots }];
    }
    const distance = (position - index * perMember) % Math.max(1, targets.length);
    const own = (distance + targets.length) % targets.length < perMember;
    return own && target.slots > 0 ? [{ ...target, slots: 1 }] : [];
  });
}
