import { describe, expect, it } from 'vitest';
import type { VmInfo } from '../../src/jobs';
import { MaintainedFleet } from './support/maintained-fleet';

const WAVE = { durationMs: 20_000, id: 1, maxAtOnce: 1, vms: ['vm-a'] };

/** Interval between lists of VMs, in ms. */
const LIST_MS = 600;

function createFleet(): MaintainedFleet {
  const fleet = new MaintainedFleet(['a'], ['b'], ['c']);
  fleet.answerMaintenance = ({ vm }) => {
    fleet.updateVm(vm, { state: 'maintenance' });
    return 'begun';
  };
  return fleet;
}

/** Returns the VM on which a worker runs. */
function vmOf(fleet: MaintainedFleet, id: string): VmInfo {
  const vm = fleet.vms.find(({ workerId }) => workerId === id);
  if (vm === undefined) {
    throw new Error(`no VM of ${id}`);
  }
  return vm;
}

function reportedStates(fleet: MaintainedFleet): unknown[] {
  return fleet.decisions.filter(({ decision }) => decision === 'wave-reported').map(({ data }) => data.state);
}

function withoutVm(fleet: MaintainedFleet, id: string): VmInfo[] {
  return fleet.vms.filter((vm) => vm.id !== id);
}

// Guards against a wave that counts as completed before the maintenance of a VM that stays.
describe('a wave', () => {
  it('waits for a VM that the newest list, from before the request, does not contain', () => {
    const fleet = createFleet();
    const all = fleet.vms;
    fleet.vms = withoutVm(fleet, 'vm-a');
    fleet.run(500);
    fleet.isListing = false;
    fleet.planner.onWave(WAVE, fleet.now);
    fleet.run(5000);
    expect(reportedStates(fleet)).toEqual(['running']);
    fleet.vms = all;
    fleet.isListing = true;
    fleet.run(6000);
    expect(fleet.maintenanceOrders.map(({ vm }) => vm)).toEqual(['vm-a']);
    expect(reportedStates(fleet)).toEqual(['running', 'completed']);
  });

  it('waits for a VM that a list asked for before the request and read after it does not contain', () => {
    const fleet = createFleet();
    const others = withoutVm(fleet, 'vm-a');
    fleet.planner.onWave(WAVE, 1000);
    for (let askedAt = 0; askedAt <= 1000; askedAt += 100) {
      fleet.planner.onVms(others, askedAt);
      fleet.planner.plan(1000 + askedAt);
    }
    expect(reportedStates(fleet)).toEqual(['running']);
  });

  it('waits for a VM that one list does not contain, since its pages are no snapshot', () => {
    const fleet = createFleet();
    fleet.planner.onVms(fleet.vms, 0);
    fleet.planner.onWave(WAVE, 100);
    fleet.planner.onVms(withoutVm(fleet, 'vm-a'), 200);
    fleet.planner.plan(200);
    fleet.planner.onVms(fleet.vms, 200 + LIST_MS);
    fleet.planner.plan(200 + LIST_MS);
    fleet.planner.onVms(withoutVm(fleet, 'vm-a'), 200 + 2 * LIST_MS);
    fleet.planner.plan(200 + 2 * LIST_MS);
    expect(reportedStates(fleet)).toEqual(['running']);
  });

  it('waits for a VM that arrives after the request, and begins its maintenance', () => {
    const fleet = createFleet();
    const all = fleet.vms;
    fleet.vms = withoutVm(fleet, 'vm-a');
    fleet.run(500);
    fleet.planner.onWave(WAVE, fleet.now);
    fleet.run(4000);
    expect(reportedStates(fleet)).toEqual(['running']);
    fleet.vms = all;
    fleet.run(5000);
    expect(fleet.maintenanceOrders.map(({ vm }) => vm)).toEqual(['vm-a']);
    expect(reportedStates(fleet)).toEqual(['running', 'completed']);
  });

  it('is completed soon after its last open VM has left', () => {
    const fleet = createFleet();
    fleet.answerMaintenance = () => 'refused';
    fleet.run(500);
    fleet.planner.onWave(WAVE, fleet.now);
    fleet.run(3000);
    expect(reportedStates(fleet)).toEqual(['running']);
    fleet.vms = withoutVm(fleet, 'vm-a');
    fleet.run(4000);
    expect(reportedStates(fleet)).toEqual(['running', 'completed']);
  });

  it('is completed in time without a VM that no list has ever contained', () => {
    const fleet = createFleet();
    fleet.planner.onWave({ ...WAVE, vms: ['vm-unknown'] }, fleet.now);
    fleet.run(10_000);
    expect(reportedStates(fleet)).toEqual(['running']);
    fleet.run(WAVE.durationMs);
    expect(reportedStates(fleet)).toEqual(['running', 'completed']);
  });

  it('stays completed for the next leader, which has no list yet', () => {
    const earlier = createFleet();
    earlier.run(500);
    earlier.planner.onWave(WAVE, earlier.now);
    const records = [];
    for (let now = 600; now < 3000; now += 100) {
      earlier.planner.onVms(earlier.vms, now);
      const plan = earlier.planner.plan(now);
      records.push(...plan.records);
      for (const order of plan.orders) {
        earlier.planner.onAnswer(order, 'begun', now);
      }
    }
    expect(reportedStates(earlier)).toEqual(['running', 'completed']);
    const later = createFleet();
    later.vms = [vmOf(later, 'b')];
    for (const { key } of records) {
      later.planner.restore(key);
    }
    later.planner.onWave(WAVE, 0);
    later.planner.plan(100);
    later.run(3000);
    expect(reportedStates(later)).toEqual(['completed']);
  });
});
