import type { FleetState } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { CircuitBreakers, eligibleTargets, minServing, RetryBudget } from '@sequoiaquay/core';

/** Target VM with the slots that may be used on it now. */
export interface UsableTarget {
  address: string;
  slots: number;
  vm: string;
}

interface KnownTargets {
  next: number;
  state: FleetState;
  targets: UsableTarget[];
}

/** Circuit breakers and retry budgets of the targets that this entry has seen results of. */
export class TargetHealth {
  readonly #breakers = new CircuitBreakers();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #known = new Map<string, KnownTargets>();

  constructor(
    private readonly replica: FleetReplica,
    private readonly timers: TimerService,
  ) {}

  /** Serving targets of a pool, without those whose breaker is open. */
  usable(pool: string): UsableTarget[] {
    const targets = this.#serving(pool);
    return this.#breakers.usableTargets(targets, minServing(this.replica.state, pool), this.timers.mono());
  }

  /** VMs of a pool whose breaker keeps them from use. */
  avoided(pool: string): Set<string> {
    const usable = new Set(this.usable(pool).map((target) => target.vm));
    return new Set(
      this.#serving(pool)
        .map((target) => target.vm)
        .filter((vm) => !usable.has(vm)),
    );
  }

  /** Records how a request on a VM of a pool ended. */
  record(pool: string, vm: string, succeeded: boolean): void {
    this.#breakers.record(vm, succeeded, this.timers.mono());
    if (succeeded) {
      this.#budgetOf(pool).recordSuccess();
    }
  }

  /** Records a result that another entry reports; it earns no retries here. */
  recordRemote(vm: string, succeeded: boolean): void {
    this.#breakers.record(vm, succeeded, this.timers.mono());
  }

  /** Takes one retry out of the pool's budget; returns false when there is none. */
  takeRetry(pool: string): boolean {
    return this.#budgetOf(pool).tryConsume(this.timers.mono());
  }

  #budgetOf(pool: string): RetryBudget {
    const known = this.#budgets.get(pool) ?? new RetryBudget();
    this.#budgets.set(pool, known);
    return known;
  }

  // Looking through all VMs of the fleet for each request would cost more than the rest of the decision.
  #serving(pool: string): UsableTarget[] {
    const { state } = this.replica;
    const known = this.#known.get(pool);
    if (known?.state === state && known.next === state.next) {
      return known.targets;
    }
    const targets = eligibleTargets(state, pool).map((vm) => ({
      address: vm.address,
      slots: vm.slots,
      vm: vm.id,
    }));
    this.#known.set(pool, { next: state.next, state, targets });
    return targets;
  }
}
