import type { ReportedGrant } from '@sequoiaquay/core';
import type { TimerService } from '@sequoiaquay/runtime';
import type { InFlight } from './in-flight';

/** Grant that a request of this entry uses. Times in ms on this entry's monotonic clock. */
export interface GrantInUse {
  expiresAt: number;
  id: string;
  job: string;
  pool: string;
  startedAt: number;
  team: string;
  vm: string;
}

/** Grants that requests of this entry use, from an owner or from the own share. */
export class GrantsInUse {
  readonly #byPool = new Map<string, Map<string, GrantInUse>>();
  readonly #byVm = new Map<string, number>();

  constructor(
    private readonly inFlight: InFlight,
    private readonly timers: TimerService,
  ) {}

  /** Pools in which grants are in use. */
  get pools(): string[] {
    return [...this.#byPool.keys()];
  }

  /** Adds a grant. */
  add(grant: GrantInUse): void {
    const ofPool = this.#byPool.get(grant.pool) ?? new Map<string, GrantInUse>();
    this.#byPool.set(grant.pool, ofPool.set(grant.id, grant));
    this.#byVm.set(grant.vm, this.onVm(grant.vm) + 1);
    this.inFlight.begin(grant.vm);
  }

  /** Removes a grant; returns false when it was removed before. */
  remove(grant: GrantInUse): boolean {
    const ofPool = this.#byPool.get(grant.pool);
    if (ofPool?.delete(grant.id) !== true) {
      return false;
    }
    if (ofPool.size === 0) {
      this.#byPool.delete(grant.pool);
    }
    this.#byVm.set(grant.vm, this.onVm(grant.vm) - 1);
    this.inFlight.end(grant.vm);
    return true;
  }

  /** Number of grants in use on a VM. */
  onVm(vm: string): number {
    return this.#byVm.get(vm) ?? 0;
  }

  /** Grants of a pool as reported to its owner. */
  reportOf(pool: string): ReportedGrant[] {
    const now = this.timers.mono();
    return [...(this.#byPool.get(pool)?.values() ?? [])].map(({ id, job, startedAt, team, vm }) => ({
      id,
      job,
      ranMs: Math.max(0, now - startedAt),
      team,
      vm,
    }));
  }

  /** Extends the leases of a pool's grants by a time in ms. */
  renewed(pool: string, leaseMs: number): void {
    for (const grant of this.#byPool.get(pool)?.values() ?? []) {
      grant.expiresAt = Math.max(grant.expiresAt, this.timers.mono() + leaseMs);
    }
  }
}
