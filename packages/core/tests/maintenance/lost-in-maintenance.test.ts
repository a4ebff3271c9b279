import { describe, expect, it } from 'vitest';
import { MaintainedFleet } from './support/maintained-fleet';

const WAVE = { durationMs: 40_000, id: 1, maxAtOnce: 1, vms: ['vm-a', 'vm-b', 'vm-c'] };

/** Returns a fleet in which the maintenance of the first VM has begun, and the id of that VM. */
function createFleet(): { fleet: MaintainedFleet; lost: string } {
  const fleet = new MaintainedFleet(['a'], ['b'], ['c'], ['d'], ['e'], ['f']);
  fleet.answerMaintenance = ({ vm }) => {
    fleet.updateVm(vm, { state: 'maintenance' });
    return 'begun';
  };
  fleet.planner.onWave(WAVE, 0);
  fleet.run(1000);
  return { fleet, lost: fleet.maintenanceOrders[0]?.vm ?? 'none' };
}

// Guards against a wave that waits for a VM which never comes back from its maintenance.
describe('the rest of a wave goes on after a VM in maintenance', () => {
  it('has left', () => {
    const { fleet, lost } = createFleet();
    fleet.vms = fleet.vms.filter(({ id }) => id !== lost);
    fleet.run(3000);
    expect(fleet.maintenanceOrders).toHaveLength(2);
  });

  it('has failed', () => {
    const { fleet, lost } = createFleet();
    fleet.updateVm(lost, { state: 'down' });
    fleet.run(3000);
    expect(fleet.maintenanceOrders).toHaveLength(2);
  });

  it('is back, but not when a single list is without it', () => {
    const { fleet, lost } = createFleet();
    const { vms } = fleet;
    fleet.vms = vms.filter(({ id }) => id !== lost);
    fleet.run(1100);
    fleet.vms = vms;
    fleet.run(3000);
    expect(fleet.maintenanceOrders).toHaveLength(1);
    fleet.updateVm(lost, { state: 'up' });
    fleet.run(4000);
    expect(fleet.maintenanceOrders).toHaveLength(2);
  });
});
