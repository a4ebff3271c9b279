import type { ResultAsync } from 'neverthrow';

/** Answer of the advice service: the workers that may run a step. */
export interface Advice {
  /** Permits by worker id; a worker without an entry must not run the step. */
  permits: ReadonlyMap<string, string>;
  /** Time for which the permits are valid, in ms. */
  validityMs: number;
}

/** Request for the workers that may run a step. */
export interface AdviceRequest {
  signal: AbortSignal;
  /** Name of the step: `<job id>.<occurrence>.<step>`. */
  step: string;
  timeoutMs: number;
  /** Candidate workers. */
  workerIds: readonly string[];
}

/** Service of the platform that decides which workers may run a step. */
export interface AdviceService {
  /** Returns the permits for a step, or an error message when there is no usable answer. */
  requestAdvice: (req: AdviceRequest) => ResultAsync<Advice, string>;
}
