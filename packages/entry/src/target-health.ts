import type { FleetState } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { CircuitBreakers, eligibleTargets, minServing, RetryBudget } from '@sequoiaquay/core';

/** Target VM with the number of slots that are currently usable. */
export interface UsableTarget {
  address: string;
  slots: number;
  vm: string;
}

interface CachedTargets {
  nextOffset: number;
  state: FleetState;
  targets: UsableTarget[];
}

/** Tracks circuit breakers of targets and retry budgets of pools from the results that this entry sees. */
export class TargetHealth {
  readonly #breakers = new CircuitBreakers();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #targetCache = new Map<string, CachedTargets>();

  constructor(
    private readonly replica: FleetReplica,
    private readonly timers: TimerService,
  ) {}

  /** Returns the serving targets of a pool, except those with an open circuit breaker. */
  usableTargets(pool: string): UsableTarget[] {
    const targets = this.#servingTargets(pool);
    return this.#breakers.usableTargets(targets, minServing(this.replica.state, pool), this.timers.mono());
  }

  /** Returns the VMs of a pool that are unusable because of an open circuit breaker. */
  unusableVms(pool: string): Set<string> {
    const usable = new Set(this.usableTargets(pool).map((target) => target.vm));
    return new Set(
      this.#servingTargets(pool)
        .map((target) => target.vm)
        .filter((vm) => !usable.has(vm)),
    );
  }

  /** Records whether a request on a VM of a pool succeeded. */
  record(pool: string, vm: string, succeeded: boolean): void {
    this.#breakers.record(vm, succeeded, this.timers.mono());
    if (succeeded) {
      this.#getBudget(pool).recordSuccess();
    }
  }

  /** Records a result that another entry reports; it adds nothing to the retry budget of this entry. */
  recordRemote(vm: string, succeeded: boolean): void {
    this.#breakers.record(vm, succeeded, this.timers.mono());
  }

  /** Consumes one retry from the pool's budget; returns false if the budget is exhausted. */
  tryConsumeRetry(pool: string): boolean {
    return this.#getBudget(pool).tryConsume(this.timers.mono());
  }

  #getBudget(pool: string): RetryBudget {
    const budget = this.#budgets.get(pool) ?? new RetryBudget();
    this.#budgets.set(pool, budget);
    return budget;
  }

  // Cached because scanning all VMs of the fleet for each request costs more than the rest of the decision.
  #servingTargets(pool: string): UsableTarget[] {
    const { state } = this.replica;
    const cached = this.#targetCache.get(pool);
    if (cached?.state === state && cached.nextOffset === state.next) {
      return cached.targets;
    }
    const targets = eligibleTargets(state, pool).map((vm) => ({
      address: vm.address,
      slots: vm.slots,
      vm: vm.id,
    }));
    this.#targetCache.set(pool, { nextOffset: state.next, state, targets });
    return targets;
  }
}
