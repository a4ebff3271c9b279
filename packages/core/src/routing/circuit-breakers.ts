import type { BreakerEvent, BreakerState } from './breaker.chart';
import type { TargetSlots } from './choose-target';
import { transition } from '../charts/chart';
import { breakerChart } from './breaker.chart';

/** Settings of the circuit breakers. */
export interface BreakerSettings {
  /** Time between opening and the first probe, in ms. */
  cooldownMs: number;
  /** Number of consecutive failures that opens a breaker. */
  failureLimit: number;
}

/** Default settings of the circuit breakers. */
export const DEFAULT_BREAKER_SETTINGS: BreakerSettings = { cooldownMs: 2000, failureLimit: 5 };

/** Maximum number of requests in flight on a VM whose breaker is half-open. */
const MAX_PROBES = 1;

interface Breaker {
  failures: number;
  openedAt: number;
  state: BreakerState;
}

/** Circuit breakers of the targets of all pools, one for each VM. Times in ms. */
export class CircuitBreakers {
  readonly #breakers = new Map<string, Breaker>();

  constructor(private readonly settings: BreakerSettings = DEFAULT_BREAKER_SETTINGS) {}

  /** State of a VM's breaker. */
  stateOf(vm: string): BreakerState {
    return this.#breakers.get(vm)?.state ?? breakerChart.initial;
  }

  /** Records the outcome of a request on a VM. */
  record(vm: string, succeeded: boolean, now: number): void {
    const breaker = this.#breakers.get(vm) ?? { failures: 0, openedAt: now, state: breakerChart.initial };
    breaker.failures = succeeded ? 0 : breaker.failures + 1;
    const isLimitReached = breaker.failures >= this.settings.failureLimit && breaker.state === 'closed';
    this.#apply(breaker, succeeded ? 'succeeded' : isLimitReached ? 'limit-reached' : 'failed', now);
    if (breaker.state === 'closed' && breaker.failures === 0) {
      this.#breakers.delete(vm);
      return;
    }
    this.#breakers.set(vm, breaker);
  }

  /** Removes the breakers of VMs that are not in `vms`. */
  retain(vms: ReadonlySet<string>): void {
    for (const vm of this.#breakers.keys()) {
      if (!vms.has(vm)) {
        this.#breakers.delete(vm);
      }
    }
  }

  /**
   * Returns the usable targets of a pool: without those whose breaker is open, and with one slot on those whose
   * breaker is half-open. At least `budget` targets keep all their slots, if there are that many; breakers that
   * opened first are overridden first.
   */
  usableTargets<T extends TargetSlots>(targets: readonly T[], budget: number, now: number): T[] {
    this.#endCooldowns(targets, now);
    const limited = targets
      .filter((target) => this.stateOf(target.vm) !== 'closed')
      .sort((a, b) => this.#openedAt(a.vm) - this.#openedAt(b.vm));
    const overridden = new Set(limited.slice(0, Math.max(0, budget - (targets.length - limited.length))));
    return targets.flatMap((target) => {
      const state = overridden.has(target) ? 'closed' : this.stateOf(target.vm);
      if (state === 'open') {
        return [];
      }
      return [state === 'half-open' ? { ...target, slots: Math.min(MAX_PROBES, target.slots) } : target];
    });
  }

  #endCooldowns(targets: readonly TargetSlots[], now: number): void {
    for (const { vm } of targets) {
      const breaker = this.#breakers.get(vm);
      if (breaker !== undefined && now - breaker.openedAt >= this.settings.cooldownMs) {
        this.#apply(breaker, 'cooled', now);
      }
    }
  }

  #apply(breaker: Breaker, event: BreakerEvent, now: number): void {
    const next = transition(breakerChart, breaker.state, event);
    if (next === 'open') {
      breaker.openedAt = now;
    }
    breaker.state = next ?? breaker.state;
  }

  #openedAt(vm: string): number {
    return this.#breakers.get(vm)?.openedAt ?? 0;
  }
}
