import type { FleetProposal } from '../records/fleet-proposal';
import type { FleetState, Member, Vm } from './fleet-state';
import { isServing, minServing, servingCount } from './budget';

/** A VM as the platform's list shows it, as far as changes of the fleet depend on it. */
export interface ListedState {
  id: string;
  role: 'entry' | 'target' | 'worker';
  state: 'leaving' | 'live';
}

/** The platform's lagging list; `asOf` in ms since the epoch. */
export interface ListView {
  asOf: number;
  vms: readonly ListedState[];
}

/** Number of consecutive lists without a member's VM, by member. */
export type MissedLists = ReadonlyMap<string, number>;

/** Proposals that a list leads to, and the misses to pass in with the next list. */
export interface ListChanges {
  missed: MissedLists;
  proposals: FleetProposal[];
}

/** Lists without its VM after which a member is taken to be gone; the list lags. */
const MAX_MISSED_LISTS = 2;

/** Time after its start at which a member's VM must be on the list, in ms; covers lag and clock skew. */
const LIST_GRACE_MS = 60_000;

/**
 * Compares the fleet with the platform's list. An empty list is taken for a fault of the list and changes
 * nothing, and a list without entry VMs says nothing about members.
 */
export function planListChanges(state: FleetState, list: ListView, missed: MissedLists): ListChanges {
  if (list.vms.length === 0) {
    return { missed, proposals: [] };
  }
  const listed = new Map(list.vms.map((vm) => [vm.id, vm]));
  const gone = proposeGoneMembers(state, list, missed);
  return {
    missed: gone.missed,
    proposals: [
      ...proposeHealthChanges(state, listed),
      ...proposeLeavingDrains(state, listed),
      ...gone.proposals,
    ],
  };
}

function proposeHealthChanges(state: FleetState, listed: ReadonlyMap<string, ListedState>): FleetProposal[] {
  const proposals: FleetProposal[] = [];
  for (const vm of state.vms.values()) {
    const health = listed.has(vm.id) ? 'up' : 'down';
    if (vm.health !== health) {
      proposals.push({ health, kind: 'vm-health', vm: vm.id });
    }
  }
  return proposals;
}

function proposeLeavingDrains(state: FleetState, listed: ReadonlyMap<string, ListedState>): FleetProposal[] {
  const spare = new Map<string, number>();
  const proposals: FleetProposal[] = [];
  for (const vm of state.vms.values()) {
    if (
      listed.get(vm.id)?.state === 'leaving' &&
      vm.state === 'serving' &&
      reserveFromBudget(state, vm, spare)
    ) {
      proposals.push({ from: vm.pool, kind: 'vm-drain', purpose: 'remove', vm: vm.id });
    }
  }
  return proposals;
}

// Proposes only what the budget allows now, so that a waiting VM costs no record at each list.
function reserveFromBudget(state: FleetState, vm: Vm, spare: Map<string, number>): boolean {
  if (!isServing(vm)) {
    return true;
  }
  const left = spare.get(vm.pool) ?? servingCount(state, vm.pool) - minServing(state, vm.pool);
  spare.set(vm.pool, left - 1);
  return left > 0;
}

function proposeGoneMembers(state: FleetState, list: ListView, missed: MissedLists): ListChanges {
  const entryVms = new Set(list.vms.filter((vm) => vm.role === 'entry').map((vm) => vm.id));
  const next = new Map<string, number>();
  const proposals: FleetProposal[] = [];
  for (const member of state.members.values()) {
    if (entryVms.size === 0 || entryVms.has(member.vm) || !isExpectedOnList(member, list)) {
      continue;
    }
    const count = (missed.get(member.id) ?? 0) + 1;
    next.set(member.id, count);
    if (count >= MAX_MISSED_LISTS) {
      proposals.push({ incarnation: member.incarnation, kind: 'member-gone', member: member.id });
    }
  }
  return { missed: next, proposals };
}

// A new member's VM may not be on the lagging list yet; incarnations are start times.
function isExpectedOnList(member: Member, list: ListView): boolean {
  return list.asOf >= member.incarnation + LIST_GRACE_MS;
}
