import type { JobClasses } from './class-learner';
import type { PoolGrant } from './queue-request';

/** Grants in use, counted by VM, team and class. */
export class GrantTable {
  readonly #byTeam = new Map<string, number>();
  readonly #byVm = new Map<string, number>();
  readonly #grants = new Map<string, PoolGrant>();
  readonly #longByVm = new Map<string, number>();

  /** Grants in use. */
  all(): IterableIterator<PoolGrant> {
    return this.#grants.values();
  }

  /** Number of grants on a VM. */
  onVm(vm: string): number {
    return this.#byVm.get(vm) ?? 0;
  }

  /** Number of grants on a VM that run long work. */
  longOnVm(vm: string): number {
    return this.#longByVm.get(vm) ?? 0;
  }

  /** Number of grants of a team. */
  ofTeam(team: string): number {
    return this.#byTeam.get(team) ?? 0;
  }

  /** Adds a grant with a new id. */
  add(grant: PoolGrant): void {
    this.#grants.set(grant.id, grant);
    change(this.#byVm, grant.vm, 1);
    change(this.#byTeam, grant.team, 1);
    change(this.#longByVm, grant.vm, grant.class === 'long' ? 1 : 0);
  }

  /** Removes a grant; undefined when it is not in use. */
  remove(id: string): PoolGrant | undefined {
    const grant = this.#grants.get(id);
    if (grant === undefined) {
      return undefined;
    }
    this.#grants.delete(id);
    change(this.#byVm, grant.vm, -1);
    change(this.#byTeam, grant.team, -1);
    change(this.#longByVm, grant.vm, grant.class === 'long' ? -1 : 0);
    return grant;
  }

  /** Extends a grant to a time in ms; returns false when it is not in use. */
  renew(id: string, expiresAt: number): boolean {
    const grant = this.#grants.get(id);
    if (grant !== undefined) {
      grant.expiresAt = expiresAt;
    }
    return grant !== undefined;
  }

  /** Ids of the grants that have expired by a time in ms. */
  expiredIds(now: number): string[] {
    return [...this.#grants.values()].filter((grant) => grant.expiresAt <= now).map((grant) => grant.id);
  }

  /** Counts running work past the class threshold as long, and marks stragglers. */
  reclassify(classes: JobClasses, now: number): void {
    for (const grant of this.#grants.values()) {
      const ranMs = now - grant.grantedAt;
      if (grant.class === 'short' && ranMs > classes.thresholdMs) {
        grant.class = 'long';
        change(this.#longByVm, grant.vm, 1);
        classes.sawLong(grant.job);
      }
      grant.straggler ||= classes.isStraggler(grant.job, ranMs);
    }
  }
}

function change(counts: Map<string, number>, key: string, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, count);
}
