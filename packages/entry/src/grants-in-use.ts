import type { ReportedGrant } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import type { InFlight } from './in-flight';

/** Grant used by a request of this entry. Times in ms on this entry's monotonic clock. */
export interface GrantInUse {
  expiresAt: number;
  id: string;
  job: string;
  pool: string;
  startedAt: number;
  team: string;
  vm: string;
}

/** Grants used by requests of this entry, from an owner or from the member share. */
export class GrantsInUse {
  readonly #byPool = new Map<string, Map<string, GrantInUse>>();
  readonly #byVm = new Map<string, number>();

  constructor(
    private readonly inFlight: InFlight,
    private readonly timers: TimerService,
  ) {}

  /** Pools with grants in use. */
  get pools(): string[] {
    return [...this.#byPool.keys()];
  }

  /** Adds a grant. */
  add(grant: GrantInUse): void {
    const poolGrants = this.#byPool.get(grant.pool) ?? new Map<string, GrantInUse>();
    this.#byPool.set(grant.pool, poolGrants.set(grant.id, grant));
    this.#byVm.set(grant.vm, this.countOnVm(grant.vm) + 1);
    this.inFlight.begin(grant.vm);
  }

  /** Removes a grant; returns false if it has already been removed. */
  remove(grant: GrantInUse): boolean {
    const poolGrants = this.#byPool.get(grant.pool);
    if (poolGrants?.delete(grant.id) !== true) {
      return false;
    }
    if (poolGrants.size === 0) {
      this.#byPool.delete(grant.pool);
    }
    this.#byVm.set(grant.vm, this.countOnVm(grant.vm) - 1);
    this.inFlight.end(grant.vm);
    return true;
  }

  /** Returns the number of grants in use on a VM. */
  countOnVm(vm: string): number {
    return this.#byVm.get(vm) ?? 0;
  }

  /** Returns the grants of a pool as reported to its owner. */
  toReport(pool: string): ReportedGrant[] {
    const now = this.timers.mono();
    return [...(this.#byPool.get(pool)?.values() ?? [])].map(({ id, job, startedAt, team, vm }) => ({
      id,
      job,
      ranMs: Math.max(0, now - startedAt),
      team,
      vm,
    }));
  }

  /** Extends the leases of a pool's grants to at least `leaseMs` from now. */
  extendLeases(pool: string, leaseMs: number): void {
    for (const grant of this.#byPool.get(pool)?.values() ?? []) {
      grant.expiresAt = Math.max(grant.expiresAt, this.timers.mono() + leaseMs);
    }
  }
}
