import type { Logger } from './logger';

/** Logs a line when a named state takes another value, and none while it keeps its value. */
export class ChangeLog {
  readonly #values = new Map<string, string>();

  constructor(private readonly log: Logger) {}

  /** Reports the present value of a state. */
  report(state: string, value: string, data: Record<string, unknown> = {}): void {
    if (this.#values.get(state) === value) {
      return;
    }
    this.#values.set(state, value);
    this.log.info({ ...data, state, value }, `${state} is ${value}`);
  }
}
