/** Counts the grants and requests of this entry on each VM. */
export class InFlight {
  readonly #counts = new Map<string, number>();
  readonly #onZero: (vm: string) => void;

  constructor(onZero: (vm: string) => void) {
    this.#onZero = onZero;
  }

  /** Number in flight on a VM. */
  count(vm: string): number {
    return this.#counts.get(vm) ?? 0;
  }

  /** Counts one more on a VM. */
  begin(vm: string): void {
    this.#counts.set(vm, this.count(vm) + 1);
  }

  /** Counts one less on a VM. */
  end(vm: string): void {
    const left = this.count(vm) - 1;
    if (left > 0) {
      this.#counts.set(vm, left);
      return;
    }
    this.#counts.delete(vm);
    this.#onZero(vm);
  }

  /** Number in flight on all VMs. */
  get total(): number {
    let total = 0;
    for (const count of this.#counts.values()) {
      total += count;
    }
    return total;
  }
}
