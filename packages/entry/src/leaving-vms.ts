import type { VmList } from '@sequoiaquay/platform';

/** A notice that a VM is leaving or live again, with the time of the list that showed it, in ms. */
export interface LeavingNotice {
  asOf: number;
  leaving: boolean;
  vm: string;
}

/** VMs that the platform's list or a peer reports as leaving; the newest notice of a VM counts. */
export class LeavingVms {
  readonly #notices = new Map<string, LeavingNotice>();

  /** Whether a VM is reported as leaving. */
  has(vm: string): boolean {
    return this.#notices.get(vm)?.leaving === true;
  }

  /** Notices known here, for relaying to peers. */
  list(): LeavingNotice[] {
    return [...this.#notices.values()];
  }

  /** The given VMs and those that are leaving. */
  with(vms: ReadonlySet<string>): ReadonlySet<string> {
    const leaving = this.list().filter((notice) => notice.leaving);
    return leaving.length === 0 ? vms : new Set([...vms, ...leaving.map((notice) => notice.vm)]);
  }

  /** Takes notices from the platform's list; a VM that is no longer on it stays as it was. */
  observeList(list: VmList): void {
    for (const vm of list.vms) {
      const leaving = vm.state === 'leaving';
      // Only VMs that have been leaving need an entry, which bounds the map.
      if (leaving || this.#notices.has(vm.id)) {
        this.observe({ asOf: list.asOf, leaving, vm: vm.id });
      }
    }
  }

  /** Takes one notice. */
  observe(notice: LeavingNotice): void {
    const known = this.#notices.get(notice.vm);
    if (known === undefined || notice.asOf > known.asOf) {
      this.#notices.set(notice.vm, notice);
    }
  }
}
