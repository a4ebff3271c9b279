import type { FleetProposal, FleetState } from '@sequoiaquay/core';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';

/** Fleet state to which tests apply proposals. */
export class FleetFixture {
  readonly state: FleetState = emptyFleetState();
  #next = 0;

  /** Applies proposals as records; returns the reason of each refusal, undefined for accepted ones. */
  apply(...proposals: FleetProposal[]): (string | undefined)[] {
    return proposals.map((proposal) => {
      const offset = this.#next;
      this.#next += 1;
      const record = { ...proposal, at: 1000 + offset, by: 'test', id: `r${offset}`, v: 1 };
      const result = applyFleetRecord(this.state, offset, record);
      return result.isErr() ? result.error.reason : undefined;
    });
  }

  /** Adds a pool with VMs `<pool>-0` and so on, spread over three zones with one rack each. */
  addPool(pool: string, vms: number, minServing: number): void {
    const team = `team-${pool}`;
    const branch = { pools: { [pool]: { jobs: {}, minServing } }, weight: 1 };
    this.apply({ base: 0, branch, kind: 'settings-apply', team });
    for (let index = 0; index < vms; index += 1) {
      this.addVm(`${pool}-${index}`, pool, `zone-${index % 3}`);
    }
  }

  addVm(vm: string, pool: string, zone: string): void {
    this.apply(
      {
        address: '127.0.0.1:1',
        connections: 64,
        kind: 'vm-register',
        rack: `${zone}-rack`,
        role: 'target',
        slots: 8,
        vm,
        zone,
      },
      { kind: 'vm-drain', purpose: 'move', to: pool, vm },
    );
  }

  join(member: string, incarnation: number, vm = member): void {
    this.apply({
      address: '127.0.0.1:2',
      incarnation,
      kind: 'member-join',
      member,
      role: 'entry',
      vm,
      zone: 'z',
    });
  }
}
