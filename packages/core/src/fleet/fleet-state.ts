import type { VmState } from '../charts/vm.chart';
import type { VmHealth } from '../records/fleet-record';
import type { TeamBranch } from '../records/settings-schema';
import type { Resources } from '../tasks/task-spec';

/** Pool of the VMs that aren't assigned to any team's pool. */
export const UNASSIGNED_POOL = 'unassigned';

/** A drain in progress on a VM. */
export interface Drain {
  id: string;
  /** Offset of the accepted drain record. */
  offset: number;
  purpose: 'move' | 'reboot' | 'remove';
  to?: string;
  /** Members (name to incarnation) that haven't yet reported that they have no requests on the VM. */
  waitingFor: Map<string, number>;
  wave?: string;
}

/** A VM of the fleet. */
export interface Vm {
  address: string;
  connections: number;
  drain?: Drain;
  health: VmHealth;
  id: string;
  /** Time of the last completed maintenance, in ms since the Unix epoch; 0 when never maintained. */
  maintainedAt: number;
  pool: string;
  rack: string;
  /** Resources that a worker offers to tasks, when the platform lists them. */
  resources?: Resources;
  role: 'target' | 'worker';
  slots: number;
  state: VmState;
  zone: string;
}

/** A process that has joined the fleet with a record in the log. */
export interface Member {
  address: string;
  id: string;
  incarnation: number;
  role: 'control' | 'entry';
  vm: string;
  zone: string;
}

/** Accepted settings of a team. */
export interface Branch {
  value: TeamBranch;
  /** Offset of the accepted record plus one; a team without settings has version 0. */
  version: number;
}

/** A maintenance wave. */
export interface Wave {
  id: string;
  startedAt: number;
  state: 'running' | 'stopped';
  stopReason?: string;
  vms: string[];
}

/** Planner of the current epoch. */
export interface Planner {
  epoch: number;
  member?: string;
}

/** State that results from applying the records of the `fleet` stream. */
export interface FleetState {
  branches: Map<string, Branch>;
  members: Map<string, Member>;
  /** Offset of the next record to apply. */
  next: number;
  planner: Planner;
  /** Team that owns each pool, derived from the branches. */
  poolOwners: Map<string, string>;
  /** Ids of recently applied records, oldest first, to detect repeats. */
  recentIds: Set<string>;
  vms: Map<string, Vm>;
  wave?: Wave;
}

/** Returns the fleet state before the first record. */
export function emptyFleetState(): FleetState {
  return {
    branches: new Map(),
    members: new Map(),
    next: 0,
    planner: { epoch: 0 },
    poolOwners: new Map(),
    recentIds: new Set(),
    vms: new Map(),
  };
}
