import type { FleetProposal, ListedState, ListView } from '@sequoiaquay/core';
import { fromSnapshot, planListChanges, toSnapshot } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import { FleetFixture } from './fleet-fixture';

const NO_MISSES: ReadonlyMap<string, number> = new Map();

function list(asOf: number, targets: string[], extra: ListedState[] = []): ListView {
  const live = targets.map((id): ListedState => ({ id, role: 'target', state: 'live' }));
  return { asOf, vms: [...live, { id: 'vm-9', role: 'entry', state: 'live' }, ...extra] };
}

function fixture(minServing = 1): FleetFixture {
  const fleet = new FleetFixture();
  fleet.addPool('web', 2, minServing);
  fleet.join('entry-0', 1000, 'vm-0');
  return fleet;
}

function kinds(proposals: FleetProposal[]): string[] {
  return proposals.map((proposal) => proposal.kind);
}

describe('planListChanges', () => {
  it('proposes health down for a missing VM and up for a returned one', () => {
    const fleet = fixture();
    const missing = planListChanges(fleet.state, list(2000, ['web-0']), NO_MISSES);
    expect(missing.proposals).toEqual([{ health: 'down', kind: 'vm-health', vm: 'web-1' }]);
    fleet.apply(...missing.proposals);
    const back = planListChanges(fleet.state, list(3000, ['web-0', 'web-1']), NO_MISSES);
    expect(back.proposals).toEqual([{ health: 'up', kind: 'vm-health', vm: 'web-1' }]);
  });

  it('treats an empty list as a fault and proposes nothing', () => {
    expect(planListChanges(fixture().state, { asOf: 99_000, vms: [] }, NO_MISSES).proposals).toEqual([]);
  });

  it('drains leaving VMs only within the availability budget', () => {
    const leaving = ['web-0', 'web-1'].map((id): ListedState => ({ id, role: 'target', state: 'leaving' }));
    const changes = planListChanges(fixture().state, list(2000, [], leaving), NO_MISSES);
    expect(kinds(changes.proposals)).toEqual(['vm-drain']);
    expect(planListChanges(fixture(2).state, list(2000, [], leaving), NO_MISSES).proposals).toEqual([]);
  });

  it('considers a member gone after two lists without its VM, but not before the list is expected to show it', () => {
    const { state } = fixture();
    const targets = ['web-0', 'web-1'];
    expect(planListChanges(state, list(2000, targets), NO_MISSES).missed.size).toBe(0);
    const first = planListChanges(state, list(70_000, targets), NO_MISSES);
    expect(first.proposals).toEqual([]);
    const second = planListChanges(state, list(71_000, targets), first.missed);
    expect(second.proposals).toEqual([{ incarnation: 1000, kind: 'member-gone', member: 'entry-0' }]);
  });

  it("keeps a removed VM until the platform no longer lists it, so that it isn't registered again", () => {
    const fleet = new FleetFixture();
    fleet.addPool('web', 2, 1);
    fleet.apply({ kind: 'vm-drain', purpose: 'remove', vm: 'web-0' });
    expect(fleet.state.vms.get('web-0')?.state).toBe('released');
    fleet.apply({ health: 'down', kind: 'vm-health', vm: 'web-0' });
    expect(fleet.state.vms.has('web-0')).toBe(false);
  });

  it('restores the same state from a snapshot', () => {
    const fleet = fixture();
    fleet.apply({ kind: 'vm-drain', purpose: 'reboot', vm: 'web-0' });
    const snapshot: unknown = JSON.parse(JSON.stringify(toSnapshot(fleet.state)));
    expect(fromSnapshot(snapshot)._unsafeUnwrap()).toEqual(fleet.state);
  });
});
