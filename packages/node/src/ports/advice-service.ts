import type { ResultAsync } from 'neverthrow';

/** Workers that may run a step. */
export interface Advice {
  /** Permit of each worker that may run the step. */
  permits: ReadonlyMap<string, string>;
  /** Time for which the permits hold, in ms. */
  validityMs: number;
}

/** Question which workers may run a step. */
export interface AdviceCall {
  limitMs: number;
  signal: AbortSignal;
  step: string;
  workerIds: readonly string[];
}

/** Service that knows which workers may run a step. */
export interface AdviceService {
  ask: (call: AdviceCall) => ResultAsync<Advice, string>;
}
