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

/** Chooses slots from this entry's share of each target while there is no owner; first come, first served. */
export class MemberShareGrants {
  #choiceCount = 0;
  readonly #waiters = new Set<Waiter>();

  constructor(
    private readonly health: TargetHealth,
    private readonly inUse: GrantsInUse,
    private readonly owners: OwnerView,
    private readonly entry: string,
  ) {}

  /** Waits for a target with a free slot until the signal aborts; the caller must record the used slot. */
  async choose(req: GrantRequest, signal: AbortSignal): Promise<Result<UsableTarget, GrantRefusal>> {
    while (!signal.aborted) {
      const usable = this.health.usableTargets(req.pool);
      if (usable.every((target) => req.excluded.has(target.vm))) {
        return err({ detail: `pool ${req.pool} has no serving target`, reason: 'no-target', waitMs: 1000 });
      }
      const chosen = this.#tryChoose(req, usable);
      if (chosen !== undefined) {
        return ok(chosen);
      }
      await this.#wait(req.pool, signal);
    }
    return err({ detail: 'no slot became free in time', reason: 'deadline-unreachable', waitMs: 1000 });
  }

  /** Wakes the first request that is waiting for a slot of the pool. */
  notifyReleased(pool: string): void {
    for (const waiter of this.#waiters) {
      if (waiter.pool === pool) {
        waiter.wake();
        return;
      }
    }
  }

  #tryChoose(req: GrantRequest, usable: readonly UsableTarget[]): UsableTarget | undefined {
    const joined = this.owners.joinedEntries;
    const share = memberShare(usable, joined.indexOf(this.entry), joined.length);
    this.#choiceCount += 1;
    return chooseTarget(share, (vm) => this.inUse.countOnVm(vm), req.excluded, this.#choiceCount);
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
