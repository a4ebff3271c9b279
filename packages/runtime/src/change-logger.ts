import type { Logger } from './logger';

/** Logs named states, with one line per change of value. */
export class ChangeLogger {
  readonly #values = new Map<string, string>();

  constructor(private readonly log: Logger) {}

  /** Logs `value` and `data` if the value differs from the one last reported for this state. */
  report(state: string, value: string, data: Record<string, unknown> = {}): void {
    if (this.#values.get(state) === value) {
      return;
    }
    this.#values.set(state, value);
    this.log.info({ ...data, state, value }, `${state} is ${value}`);
  }
}
