/**
 * Whether a process reads the platform's VM list in a period. The members rotate in the order of their names,
 * so that the cost of reading doesn't grow with their number. A process that isn't a member reads the list in
 * every period.
 */
export function isListReader(members: readonly string[], self: string, period: number): boolean {
  const index = members.toSorted((a, b) => a.localeCompare(b)).indexOf(self);
  return index < 0 || period % members.length === index;
}
