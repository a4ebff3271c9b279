/**
 * Whether a process reads the platform's VM list in a period. The members take turns by name, so that the
 * cost of the list doesn't grow with their number; a process that isn't a member reads it in every period.
 */
export function isOnListDuty(members: readonly string[], self: string, period: number): boolean {
  const turn = members.toSorted((a, b) => a.localeCompare(b)).indexOf(self);
  return turn < 0 || period % members.length === turn;
}
