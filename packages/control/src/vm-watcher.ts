import type { MissedLists } from '@sequoiaquay/core';
import type { FleetReplica, ListedVm, VmList, VmService } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { isListReader, nameSchema, planListChanges } from '@sequoiaquay/core';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { Proposer } from './proposer';

/** Settings of the VM watcher. */
export interface VmWatcherSettings {
  /** Name of this control. */
  name: string;
  /** Period in which one of the controls reads the list, in ms. */
  pollMs: number;
}

/** Longest time that a proposal of the watcher waits for its verdict, in ms. */
const PROPOSAL_TIMEOUT_MS = 5000;

/** Proposes the changes that the platform's list leads to: new VMs, health, leaving VMs, gone members. */
export class VmWatcher {
  #busy = false;
  #missed: MissedLists = new Map();
  /** Last list read, or undefined before the first. */
  list: VmList | undefined;

  constructor(
    private readonly vms: VmService,
    private readonly replica: FleetReplica,
    private readonly proposer: Proposer,
    private readonly settings: VmWatcherSettings,
    private readonly timers: TimerService,
  ) {}

  /** Polls the list until the signal aborts. */
  start(signal: AbortSignal): void {
    this.timers.every(
      this.settings.pollMs,
      () => {
        void this.#poll(signal);
      },
      signal,
    );
  }

  async #poll(signal: AbortSignal): Promise<void> {
    if (this.#busy || !this.replica.caughtUp || !this.#isOnDuty()) {
      return;
    }
    this.#busy = true;
    const list = await this.vms.listVms(signal);
    if (list.isOk() && list.value.asOf > (this.list?.asOf ?? 0)) {
      this.list = list.value;
      await this.#propose(list.value, signal);
    }
    this.#busy = false;
  }

  #isOnDuty(): boolean {
    const members = [...this.replica.state.members.values()];
    const controls = members.filter((member) => member.role === 'control').map((member) => member.id);
    const period = Math.floor(this.timers.now() / this.settings.pollMs);
    return isListReader(controls, this.settings.name, period);
  }

  async #propose(list: VmList, signal: AbortSignal): Promise<void> {
    const unknown = list.vms.filter((vm) => vm.role !== 'entry' && this.#isNew(vm));
    const changes = planListChanges(this.replica.state, list, this.#missed);
    this.#missed = changes.missed;
    const proposals = [...unknown.map(toProposal), ...changes.proposals];
    const limit = createTimeoutSignal(signal, PROPOSAL_TIMEOUT_MS);
    await Promise.all(proposals.map((proposal) => this.proposer.propose(proposal, limit)));
  }

  #isNew(vm: ListedVm): boolean {
    return vm.state === 'live' && nameSchema.safeParse(vm.id).success && !this.replica.state.vms.has(vm.id);
  }
}

function toProposal(vm: ListedVm): Parameters<Proposer['propose']>[0] {
  return {
    address: vm.address,
    connections: vm.connections,
    kind: 'vm-register',
    rack: vm.rack,
    resources: vm.resources,
    role: vm.role === 'worker' ? 'worker' : 'target',
    slots: vm.slots,
    vm: vm.id,
    zone: vm.zone,
  };
}
