import type { FleetReplica } from '@sequoiaquay/platform';
import type { Result } from 'neverthrow';
import { eligibleTargets, leastLoaded } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import type { Grant, GrantRefusal, GrantRequest, GrantSource } from './grant-source';
import type { InFlight } from './in-flight';

interface Waiter {
  req: GrantRequest;
  wake: () => void;
}

/** Grants from this entry's own view: least in flight first, first come first served. */
export class OwnShareGrants implements GrantSource {
  readonly #waiters: Waiter[] = [];

  constructor(
    private readonly replica: FleetReplica,
    private readonly inFlight: InFlight,
  ) {}

  async acquire(req: GrantRequest, signal: AbortSignal): Promise<Result<Grant, GrantRefusal>> {
    while (!signal.aborted) {
      const grant = this.#tryGrant(req);
      if (grant !== undefined) {
        return ok(grant);
      }
      if (eligibleTargets(this.replica.state, req.pool, req.excluded).length === 0) {
        return err({ detail: `pool ${req.pool} has no serving target`, reason: 'no-target', waitMs: 1000 });
      }
      await this.#wait(req, signal);
    }
    return err({ detail: 'no slot became free in time', reason: 'deadline-unreachable', waitMs: 1000 });
  }

  /** Requests that wait for a slot, by pool. */
  queued(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { req } of this.#waiters) {
      counts.set(req.pool, (counts.get(req.pool) ?? 0) + 1);
    }
    return counts;
  }

  #tryGrant(req: GrantRequest): Grant | undefined {
    const targets = eligibleTargets(this.replica.state, req.pool, req.excluded);
    const loads = targets.map((vm) => ({ inFlight: this.inFlight.count(vm.id), slots: vm.slots, vm: vm.id }));
    const chosen = leastLoaded(loads);
    const vm = targets.find((target) => target.id === chosen?.vm);
    if (vm === undefined) {
      return undefined;
    }
    this.inFlight.begin(vm.id);
    return {
      address: vm.address,
      release: () => {
        this.inFlight.end(vm.id);
        this.#waiters.find((waiter) => waiter.req.pool === req.pool)?.wake();
      },
      vm: vm.id,
    };
  }

  #wait(req: GrantRequest, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        req,
        wake: () => {
          this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
          signal.removeEventListener('abort', waiter.wake);
          resolve();
        },
      };
      this.#waiters.push(waiter);
      signal.addEventListener('abort', waiter.wake, { once: true });
    });
  }
}
