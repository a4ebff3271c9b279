import type { VmList } from '@sequoiaquay/platform';

/** Notice that a VM is leaving or no longer leaving; `asOf` is the time of the VM list, in ms. */
export interface LeavingNotice {
  asOf: number;
  leaving: boolean;
  vm: string;
}

/** VMs reported as leaving by the platform's VM list or by a peer; the newest notice per VM applies. */
export class LeavingVms {
  readonly #notices = new Map<string, LeavingNotice>();

  /** Returns whether a VM is reported as leaving. */
  has(vm: string): boolean {
    return this.#notices.get(vm)?.leaving === true;
  }

  /** Returns all notices, to be relayed to peers. */
  list(): LeavingNotice[] {
    return [...this.#notices.values()];
  }

  /** Returns the union of the given VMs and the leaving VMs. */
  unionWith(vms: ReadonlySet<string>): ReadonlySet<string> {
    const leaving = this.list().filter((notice) => notice.leaving);
    return leaving.length === 0 ? vms : new Set([...vms, ...leaving.map((notice) => notice.vm)]);
  }

  /** Applies the platform's VM list; VMs that are no longer on it keep their notice. */
  applyList(list: VmList): void {
    for (const vm of list.vms) {
      const leaving = vm.state === 'leaving';
      // Only VMs that are or were leaving get a notice, which bounds the map.
      if (leaving || this.#notices.has(vm.id)) {
        this.applyNotice({ asOf: list.asOf, leaving, vm: vm.id });
      }
    }
  }

  /** Applies one notice unless a newer one exists. */
  applyNotice(notice: LeavingNotice): void {
    const existing = this.#notices.get(notice.vm);
    if (existing === undefined || notice.asOf > existing.asOf) {
      this.#notices.set(notice.vm, notice);
    }
  }
}
