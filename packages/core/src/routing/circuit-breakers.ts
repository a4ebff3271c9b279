import type { BreakerEvent, BreakerState } from './breaker.chart';
import type { TargetSlots } from './choose-target';
import { transition } from '../charts/chart';
import { breakerChart } from './breaker.chart';

/** Settings of the circuit breakers. */
export interface BreakerSettings {
  /** Pause between the opening and the first probe, in ms. */
  coolMs: number;
  /** Consecutive failures that open a breaker. */
  failureLimit: number;
}

/** Settings of circuit breakers that are given none. */
export const DEFAULT_BREAKER_SETTINGS: BreakerSettings = { coolMs: 2000, failureLimit: 5 };

/** Requests that may be in flight on a VM whose breaker probes. */
const PROBES = 1;

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

  /** Records how a request on a VM ended. */
  record(vm: string, succeeded: boolean, now: number): void {
    const breaker = this.#breakers.get(vm) ?? { failures: 0, openedAt: now, state: breakerChart.initial };
    breaker.failures = succeeded ? 0 : breaker.failures + 1;
    const reached = breaker.failures >= this.settings.failureLimit && breaker.state === 'closed';
    this.#apply(breaker, succeeded ? 'succeeded' : reached ? 'limit-reached' : 'failed', now);
    if (breaker.state === 'closed' && breaker.failures === 0) {
      this.#breakers.delete(vm);
      return;
    }
    this.#breakers.set(vm, breaker);
  }

  /** Forgets the VMs that are not in the given set. */
  retain(vms: ReadonlySet<string>): void {
    for (const vm of this.#breakers.keys()) {
      if (!vms.has(vm)) {
        this.#breakers.delete(vm);
      }
    }
  }

  /**
   * Serving VMs of a pool with the slots that may be used now: none on an open breaker, one on a breaker that
   * probes. At least `budget` VMs keep their slots; those that opened first are used again first.
   */
  usable<T extends TargetSlots>(targets: readonly T[], budget: number, now: number): T[] {
    this.#cool(targets, now);
    const limited = targets
      .filter((target) => this.stateOf(target.vm) !== 'closed')
      .sort((a, b) => this.#openedAt(a.vm) - this.#openedAt(b.vm));
    const forced = new Set(limited.slice(0, Math.max(0, budget - (targets.length - limited.length))));
    return targets.flatMap((target) => {
      const state = forced.has(target) ? 'closed' : this.stateOf(target.vm);
      if (state === 'open') {
        return [];
      }
      return [state === 'half-open' ? { ...target, slots: Math.min(PROBES, target.slots) } : target];
    });
  }

  #cool(targets: readonly TargetSlots[], now: number): void {
    for (const { vm } of targets) {
      const breaker = this.#breakers.get(vm);
      if (breaker !== undefined && now - breaker.openedAt >= this.settings.coolMs) {
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
