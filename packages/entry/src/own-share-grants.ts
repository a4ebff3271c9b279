import type { Result } from 'neverthrow';
import { chooseTarget, memberShare } from '@sequoiaquay/core';
import { err, ok } from 'neverthrow';
import type { GrantRefusal, GrantRequest } from './grant-source';
import type { GrantsInUse } from './grants-in-use';
import type { OwnerView } from './owner-view';
import type { TargetHealth, UsableTarget } from './target-health';

interface Waiter {
  pool: string;
  wake: () => void;
}

/** Slots from this entry's own share of each target, for the time without an owner; first come, first served. */
export class OwnShareGrants {
  #choices = 0;
  readonly #waiters = new Set<Waiter>();

  constructor(
    private readonly health: TargetHealth,
    private readonly inUse: GrantsInUse,
    private readonly owners: OwnerView,
    private readonly entry: string,
  ) {}

  /** Waits for a target with a free slot until the signal aborts; the caller counts the use of the slot. */
  async choose(req: GrantRequest, signal: AbortSignal): Promise<Result<UsableTarget, GrantRefusal>> {
    while (!signal.aborted) {
      const usable = this.health.usable(req.pool);
      if (usable.every((target) => req.excluded.has(target.vm))) {
        return err({ detail: `pool ${req.pool} has no serving target`, reason: 'no-target', waitMs: 1000 });
      }
      const chosen = this.#chooseNow(req, usable);
      if (chosen !== undefined) {
        return ok(chosen);
      }
      await this.#wait(req.pool, signal);
    }
    return err({ detail: 'no slot became free in time', reason: 'deadline-unreachable', waitMs: 1000 });
  }

  /** Wakes the first request that waits for a slot of the pool. */
  released(pool: string): void {
    for (const waiter of this.#waiters) {
      if (waiter.pool === pool) {
        waiter.wake();
        return;
      }
    }
  }

  #chooseNow(req: GrantRequest, usable: readonly UsableTarget[]): UsableTarget | undefined {
    const joined = this.owners.joinedEntries;
    const share = memberShare(usable, joined.indexOf(this.entry), joined.length);
    this.#choices += 1;
    return chooseTarget(share, (vm) => this.inUse.onVm(vm), req.excluded, this.#choices);
  }

  #wait(pool: string, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        pool,
        wake: () => {
          this.#waiters.delete(waiter);
          signal.removeEventListener('abort', waiter.wake);
          resolve();
        },
      };
      this.#waiters.add(waiter);
      signal.addEventListener('abort', waiter.wake, { once: true });
    });
  }
}
