/** Counts the requests of this entry on each VM and the outstanding grants of its pool queues. */
export class InFlight {
  readonly #grants = new Map<string, number>();
  readonly #onClear: (vm: string) => void;
  readonly #requests = new Map<string, number>();

  constructor(onClear: (vm: string) => void) {
    this.#onClear = onClear;
  }

  /** Requests of this entry in flight on all VMs. */
  get total(): number {
    let total = 0;
    for (const count of this.#requests.values()) {
      total += count;
    }
    return total;
  }

  /** Returns the number of requests of this entry in flight on a VM. */
  count(vm: string): number {
    return this.#requests.get(vm) ?? 0;
  }

  /** Returns the number of grants of this entry's queues on a VM that are neither released nor expired. */
  granted(vm: string): number {
    return this.#grants.get(vm) ?? 0;
  }

  /** Returns whether a VM has no requests and no grants of this entry. */
  isClear(vm: string): boolean {
    return this.count(vm) === 0 && this.granted(vm) === 0;
  }

  /** Adds one request on a VM. */
  begin(vm: string): void {
    this.#requests.set(vm, this.count(vm) + 1);
  }

  /** Subtracts one request on a VM. */
  end(vm: string): void {
    this.#decrease(this.#requests, vm);
  }

  /** Adds one grant on a VM. */
  beginGrant(vm: string): void {
    this.#grants.set(vm, this.granted(vm) + 1);
  }

  /** Subtracts one grant on a VM. */
  endGrant(vm: string): void {
    this.#decrease(this.#grants, vm);
  }

  #decrease(counts: Map<string, number>, vm: string): void {
    const left = (counts.get(vm) ?? 0) - 1;
    if (left > 0) {
      counts.set(vm, left);
    } else {
      counts.delete(vm);
    }
    if (this.isClear(vm)) {
      this.#onClear(vm);
    }
  }
}
