/** State chart: maps each state and event to the next state. */
export interface Chart<S extends string, E extends string> {
  initial: S;
  states: Readonly<Record<S, Partial<Record<E, S>>>>;
}

/** Returns the state that an event leads to, or undefined when the chart has no such transition. */
export function transition<S extends string, E extends string>(
  chart: Chart<S, E>,
  state: S,
  event: E,
): S | undefined {
  return chart.states[state][event];
}
