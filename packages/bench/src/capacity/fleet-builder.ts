import type { FleetProposal, FleetState, JobSettings, PoolSettings } from '@sequoiaquay/core';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';

/** Size of a fleet. */
export interface FleetShape {
  entries: number;
  pools: number;
  teams: number;
  vms: number;
}

/** Size to design for, with 32 entry VMs. */
export const TARGET_SHAPE: FleetShape = { entries: 32, pools: 389, teams: 150, vms: 670 };

/** Time of the records, in ms since the epoch. */
const AT = 1_790_000_000_000;

/** Zones of the size to design for. */
const ZONES = 5;

/** VMs in a rack. */
const RACK_SIZE = 4;

/** Builds a fleet state by proposing records to the fold. */
export class FleetBuilder {
  /** Bytes of all records, as the log stores them. */
  bytes = 0;
  /** Records accepted, as the log holds them. */
  readonly log: unknown[] = [];
  /** Number of records accepted. */
  records = 0;
  readonly state: FleetState = emptyFleetState();

  constructor(readonly shape: FleetShape) {
    this.#register();
    this.#join();
    this.#configure();
    this.#assign();
  }

  /** Applies a proposal; fails when the fold refuses it. */
  propose(proposal: FleetProposal): void {
    const id = `record-${String(this.records).padStart(12, '0')}-0000-000000000000`;
    const record = { ...proposal, at: AT + this.records, by: 'control-0', id, v: 1 };
    const verdict = applyFleetRecord(this.state, this.records, record);
    if (verdict.isErr()) {
      throw new Error(`${proposal.kind}: ${verdict.error.detail}`);
    }
    this.bytes += JSON.stringify(record).length;
    this.log.push(record);
    this.records += 1;
  }

  /** Drains a VM for a reboot until every entry is clear, and returns it to service. */
  maintain(vm: string): void {
    this.propose({ kind: 'vm-drain', purpose: 'reboot', vm });
    this.clearAll(vm);
    this.propose({ health: 'up', kind: 'vm-health', vm });
  }

  /** Reports every entry to be clear of a draining VM. */
  clearAll(vm: string): void {
    const drain = this.state.vms.get(vm)?.drain;
    for (const [member, incarnation] of [...(drain?.waitingFor ?? [])]) {
      this.propose({ drain: drain?.id ?? '', incarnation, kind: 'vm-clear', member, vm });
    }
  }

  /** Proposes a change of one team's settings, based on its present version. */
  changeSettings(team: string): void {
    const branch = this.state.branches.get(team);
    if (branch !== undefined) {
      this.propose({ base: branch.version, branch: branch.value, kind: 'settings-apply', team });
    }
  }

  #register(): void {
    for (let index = 0; index < this.shape.vms; index += 1) {
      this.propose({
        address: `10.0.${index >> 8}.${index & 255}:8080`,
        connections: 64,
        kind: 'vm-register',
        rack: `rack-${Math.floor(index / RACK_SIZE)}`,
        role: 'target',
        slots: 8,
        vm: vmName(index),
        zone: `zone-${index % ZONES}`,
      });
    }
  }

  #join(): void {
    for (let index = 0; index < this.shape.entries; index += 1) {
      for (const role of ['control', 'entry'] as const) {
        this.propose({
          address: `10.1.${index >> 8}.${index & 255}:7000`,
          incarnation: AT,
          kind: 'member-join',
          member: `${role}-${String(index).padStart(3, '0')}`,
          role,
          vm: `entry-vm-${index}`,
          zone: `zone-${index % ZONES}`,
        });
      }
    }
  }

  #configure(): void {
    const pools = new Map<string, number[]>();
    for (let index = 0; index < this.shape.pools; index += 1) {
      const team = teamName(index % this.shape.teams);
      pools.set(team, [...(pools.get(team) ?? []), index]);
    }
    for (const [team, indexes] of pools) {
      this.propose({
        base: 0,
        branch: {
          pools: Object.fromEntries(indexes.map((index) => [poolName(index), poolSettings()])),
          quota: { inFlight: 64, queued: 256 },
          weight: 1,
        },
        kind: 'settings-apply',
        team,
      });
    }
  }

  #assign(): void {
    for (let index = 0; index < this.shape.vms && this.shape.pools > 0; index += 1) {
      const vm = vmName(index);
      this.propose({ kind: 'vm-drain', purpose: 'move', to: poolName(index % this.shape.pools), vm });
      this.clearAll(vm);
    }
  }
}

/** Name of a VM. */
export function vmName(index: number): string {
  return `vm-${String(index).padStart(4, '0')}`;
}

/** Name of a team. */
export function teamName(index: number): string {
  return `team-${String(index).padStart(3, '0')}`;
}

function poolName(index: number): string {
  return `pool-${String(index).padStart(3, '0')}`;
}

function poolSettings(): PoolSettings {
  return { jobs: { archive: jobOf(true), charge: jobOf(false), quote: jobOf(true) }, minServing: 0 };
}

function jobOf(repeatable: boolean): JobSettings {
  return { repeatable, timeoutMs: 30_000, urgent: false };
}
