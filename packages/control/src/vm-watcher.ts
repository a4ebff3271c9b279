import type { MissedLists } from '@sequoiaquay/core';
import type { FleetReplica, ListedVm, VmList, VmService } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { isListReader, nameSchema, planListChanges } from '@sequoiaquay/core';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { Proposer } from './proposer';

/** Settings of the VM watcher. */
export interface VmWatcherSettings {
  /** Name of this control process. */
  name: string;
  /** Polling interval in ms; in each interval one of the control processes reads the list. */
  pollMs: number;
}

/** Longest wait for the result of a proposal, in ms. */
const PROPOSAL_TIMEOUT_MS = 5000;

/** Polls the platform's VM list and proposes new VMs, health changes, leaving VMs and removed members. */
export class VmWatcher {
  #isPolling = false;
  #missedLists: MissedLists = new Map();
  /** Newest list read, or undefined before the first. */
  list: VmList | undefined;

  constructor(
    private readonly vms: VmService,
    private readonly replica: FleetReplica,
    private readonly proposer: Proposer,
    private readonly settings: VmWatcherSettings,
    private readonly timers: TimerService,
  ) {}

  /** Starts polling the list until the signal aborts. */
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
    if (this.#isPolling || !this.replica.caughtUp || !this.#isListReader()) {
      return;
    }
    this.#isPolling = true;
    const list = await this.vms.listVms(signal);
    if (list.isOk() && list.value.asOf > (this.list?.asOf ?? 0)) {
      this.list = list.value;
      await this.#proposeChanges(list.value, signal);
    }
    this.#isPolling = false;
  }

  #isListReader(): boolean {
    const members = [...this.replica.state.members.values()];
    const controls = members.filter((member) => member.role === 'control').map((member) => member.id);
    const period = Math.floor(this.timers.now() / this.settings.pollMs);
    return isListReader(controls, this.settings.name, period);
  }

  async #proposeChanges(list: VmList, signal: AbortSignal): Promise<void> {
    const unregistered = list.vms.filter((vm) => vm.role !== 'entry' && this.#isUnregistered(vm));
    const changes = planListChanges(this.replica.state, list, this.#missedLists);
    this.#missedLists = changes.missed;
    const proposals = [...unregistered.map(toProposal), ...changes.proposals];
    const proposalSignal = createTimeoutSignal(signal, PROPOSAL_TIMEOUT_MS);
    await Promise.all(proposals.map((proposal) => this.proposer.propose(proposal, proposalSignal)));
  }

  #isUnregistered(vm: ListedVm): boolean {
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
