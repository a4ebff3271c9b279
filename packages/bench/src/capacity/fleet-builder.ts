import type { FleetProposal, FleetState, JobSettings, PoolSettings } from '@sequoiaquay/core';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';

/** Number of entry VMs, pools, teams and VMs in a fleet. */
export interface FleetSize {
  entries: number;
  pools: number;
  teams: number;
  vms: number;
}

/** Fleet size that the system is designed for, with 32 entry VMs. */
export const DESIGN_FLEET_SIZE: FleetSize = { entries: 32, pools: 389, teams: 150, vms: 670 };

/** Time of the first record, in ms since the epoch; each further record is 1 ms later. */
const FIRST_RECORD_AT_MS = 1_790_000_000_000;

/** Number of availability zones in the fleet. */
const ZONE_COUNT = 5;

const VMS_PER_RACK = 4;

/** Builds a fleet state by applying the records that the processes of a fleet would append to its log. */
export class FleetBuilder {
  /** Total length of the accepted records as JSON; all text is ASCII, so this equals their size in bytes. */
  recordBytes = 0;
  /** Accepted records in the order of the log. */
  readonly acceptedRecords: unknown[] = [];
  /** Number of accepted records. */
  recordCount = 0;
  readonly state: FleetState = emptyFleetState();

  constructor(readonly size: FleetSize) {
    this.#registerVms();
    this.#joinMembers();
    this.#applySettings();
    this.#assignVms();
  }

  /** Applies a proposal as the next record; throws when the fleet state refuses it. */
  propose(proposal: FleetProposal): void {
    const id = `record-${String(this.recordCount).padStart(12, '0')}-0000-000000000000`;
    const record = { ...proposal, at: FIRST_RECORD_AT_MS + this.recordCount, by: 'control-0', id, v: 1 };
    const result = applyFleetRecord(this.state, this.recordCount, record);
    if (result.isErr()) {
      throw new Error(`${proposal.kind}: ${result.error.detail}`);
    }
    this.recordBytes += JSON.stringify(record).length;
    this.acceptedRecords.push(record);
    this.recordCount += 1;
  }

  /** Drains a VM for a reboot, reports all entries clear of it, and returns it to service. */
  rebootVm(vm: string): void {
    this.propose({ kind: 'vm-drain', purpose: 'reboot', vm });
    this.reportAllClear(vm);
    this.propose({ health: 'up', kind: 'vm-health', vm });
  }

  /** Reports each entry that a draining VM waits for as clear of that VM. */
  reportAllClear(vm: string): void {
    const drain = this.state.vms.get(vm)?.drain;
    for (const [member, incarnation] of [...(drain?.waitingFor ?? [])]) {
      this.propose({ drain: drain?.id ?? '', incarnation, kind: 'vm-clear', member, vm });
    }
  }

  /** Applies a settings change that repeats a team's current settings, based on their current version. */
  changeSettings(team: string): void {
    const branch = this.state.branches.get(team);
    if (branch !== undefined) {
      this.propose({ base: branch.version, branch: branch.value, kind: 'settings-apply', team });
    }
  }

  #registerVms(): void {
    for (let index = 0; index < this.size.vms; index += 1) {
      this.propose({
        address: `10.0.${index >> 8}.${index & 255}:8080`,
        connections: 64,
        kind: 'vm-register',
        rack: `rack-${Math.floor(index / VMS_PER_RACK)}`,
        role: 'target',
        slots: 8,
        vm: vmName(index),
        zone: `zone-${index % ZONE_COUNT}`,
      });
    }
  }

  #joinMembers(): void {
    for (let index = 0; index < this.size.entries; index += 1) {
      for (const role of ['control', 'entry'] as const) {
        this.propose({
          address: `10.1.${index >> 8}.${index & 255}:7000`,
          incarnation: FIRST_RECORD_AT_MS,
          kind: 'member-join',
          member: `${role}-${String(index).padStart(3, '0')}`,
          role,
          vm: `entry-vm-${index}`,
          zone: `zone-${index % ZONE_COUNT}`,
        });
      }
    }
  }

  #applySettings(): void {
    const pools = new Map<string, number[]>();
    for (let index = 0; index < this.size.pools; index += 1) {
      const team = teamName(index % this.size.teams);
      pools.set(team, [...(pools.get(team) ?? []), index]);
    }
    for (const [team, indexes] of pools) {
      this.propose({
        base: 0,
        branch: {
          pools: Object.fromEntries(indexes.map((index) => [poolName(index), createPoolSettings()])),
          quota: { inFlight: 64, queued: 256 },
          weight: 1,
        },
        kind: 'settings-apply',
        team,
      });
    }
  }

  #assignVms(): void {
    for (let index = 0; index < this.size.vms && this.size.pools > 0; index += 1) {
      const vm = vmName(index);
      this.propose({ kind: 'vm-drain', purpose: 'move', to: poolName(index % this.size.pools), vm });
      this.reportAllClear(vm);
    }
  }
}

/** Returns the name of the VM with an index. */
export function vmName(index: number): string {
  return `vm-${String(index).padStart(4, '0')}`;
}

/** Returns the name of the team with an index. */
export function teamName(index: number): string {
  return `team-${String(index).padStart(3, '0')}`;
}

function poolName(index: number): string {
  return `pool-${String(index).padStart(3, '0')}`;
}

function createPoolSettings(): PoolSettings {
  return {
    jobs: {
      archive: createJobSettings(true),
      charge: createJobSettings(false),
      quote: createJobSettings(true),
    },
    minServing: 0,
  };
}

function createJobSettings(repeatable: boolean): JobSettings {
  return { repeatable, timeoutMs: 30_000, urgent: false };
}
