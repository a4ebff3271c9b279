import type { PoolGrant } from './queue-request';
import type { JobClassifier } from './run-time-classifier';

/** Grants in use, with counts by VM, by team and of long runs. */
export class GrantTable {
  readonly #countByTeam = new Map<string, number>();
  readonly #countByVm = new Map<string, number>();
  readonly #grants = new Map<string, PoolGrant>();
  readonly #longCountByVm = new Map<string, number>();

  /** Returns all grants in use. */
  all(): IterableIterator<PoolGrant> {
    return this.#grants.values();
  }

  /** Number of grants on a VM. */
  countOnVm(vm: string): number {
    return this.#countByVm.get(vm) ?? 0;
  }

  /** Number of grants on a VM whose run is classified as long. */
  countLongOnVm(vm: string): number {
    return this.#longCountByVm.get(vm) ?? 0;
  }

  /** Number of grants of a team. */
  countOfTeam(team: string): number {
    return this.#countByTeam.get(team) ?? 0;
  }

  /** Adds a grant; its id must not be in use. */
  add(grant: PoolGrant): void {
    this.#grants.set(grant.id, grant);
    adjustCount(this.#countByVm, grant.vm, 1);
    adjustCount(this.#countByTeam, grant.team, 1);
    adjustCount(this.#longCountByVm, grant.vm, grant.class === 'long' ? 1 : 0);
  }

  /** Removes a grant and returns it, or undefined when it is not in use. */
  remove(id: string): PoolGrant | undefined {
    const grant = this.#grants.get(id);
    if (grant === undefined) {
      return undefined;
    }
    this.#grants.delete(id);
    adjustCount(this.#countByVm, grant.vm, -1);
    adjustCount(this.#countByTeam, grant.team, -1);
    adjustCount(this.#longCountByVm, grant.vm, grant.class === 'long' ? -1 : 0);
    return grant;
  }

  /** Sets the expiry time of a grant, in ms; returns false when it is not in use. */
  renew(id: string, expiresAt: number): boolean {
    const grant = this.#grants.get(id);
    if (grant !== undefined) {
      grant.expiresAt = expiresAt;
    }
    return grant !== undefined;
  }

  /** Ids of the grants whose expiry time is at or before `now`, in ms. */
  expiredIds(now: number): string[] {
    return [...this.#grants.values()].filter((grant) => grant.expiresAt <= now).map((grant) => grant.id);
  }

  /** Reclassifies running short work as long once it exceeds the threshold, and marks stragglers. */
  reclassify(classifier: JobClassifier, now: number): void {
    for (const grant of this.#grants.values()) {
      const ranMs = now - grant.grantedAt;
      if (grant.class === 'short' && ranMs > classifier.thresholdMs) {
        grant.class = 'long';
        adjustCount(this.#longCountByVm, grant.vm, 1);
        classifier.recordLongRun(grant.job);
      }
      grant.straggler ||= classifier.isStraggler(grant.job, ranMs);
    }
  }
}

function adjustCount(counts: Map<string, number>, key: string, delta: number): void {
  const count = (counts.get(key) ?? 0) + delta;
  if (count === 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, count);
}
