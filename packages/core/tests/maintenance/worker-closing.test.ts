import { describe, expect, it } from 'vitest';
import { job, step } from '../jobs/support/jobs';
import { MaintainedFleet } from './support/maintained-fleet';

/** Longest time for which a worker may be closed without need, in ms. */
const MAX_WAIT_MS = 3000;

/** Returns a pool with one worker that has the label, and waiting work in another pool that takes its VM. */
function createFleet(...others: string[]): MaintainedFleet {
  const workers = ['b', ...others].map((id): [string] => [id]);
  const fleet = new MaintainedFleet(['a', { labels: ['big'] }], ...workers);
  const cores = { cpuMilli: 3000, gpus: 0, memoryMb: 100 };
  fleet.scheduler.onJob({ ...job('elsewhere', [step({ demand: cores })]), pool: 'other' }, [], 0, 0);
  return fleet;
}

function addBigTask(fleet: MaintainedFleet, parts = {}): void {
  fleet.scheduler.onJob(job('big', [step({ requiredLabel: 'big', ...parts })]), [], fleet.now, fleet.now);
}

// Guards against tasks that wait for a worker which an order for its VM keeps closed.
describe('workers that are closed for moves and waves', () => {
  it('keeps a worker closed for its move when the maintenance of its VM is refused', () => {
    const fleet = createFleet('c', 'd', 'e', 'f', 'g');
    fleet.answerMaintenance = () => 'refused';
    fleet.run(200);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, fleet.now);
    fleet.run(400);
    expect(fleet.maintenanceOrders).toHaveLength(1);
    expect(fleet.isOpen('a')).toBe(false);
  });

  it('keeps a worker closed for a wave when the move of its VM is refused', () => {
    const fleet = createFleet('c', 'd', 'e', 'f', 'g');
    fleet.run(200);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, fleet.now);
    fleet.run(400);
    expect(fleet.maintenanceOrders).toHaveLength(1);
    fleet.balancer.onAnswer({ pool: 'other', vm: 'vm-a' }, 'refused', fleet.now);
    expect(fleet.isOpen('a')).toBe(false);
  });

  it('keeps a worker closed for one wave when another wave that names its VM is refused', () => {
    const fleet = new MaintainedFleet(['a'], ['b'], ['c'], ['d']);
    fleet.answerMaintenance = (order) => (order.wave === 8 ? 'refused' : undefined);
    for (const id of [7, 8]) {
      fleet.planner.onWave({ durationMs: 60_000, id, maxAtOnce: 1, vms: ['vm-a'] }, 0);
    }
    fleet.run(100);
    expect(fleet.maintenanceOrders.map((order) => order.wave)).toEqual([7, 8]);
    expect(fleet.isOpen('a')).toBe(false);
  });

  it('reopens a worker when the order for its VM is refused after the VM has left the list', () => {
    const fleet = new MaintainedFleet(['a', { labels: ['big'] }], ['b']);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, 0);
    fleet.run(100);
    fleet.vms = fleet.vms.filter((vm) => vm.id !== 'vm-a');
    fleet.run(200);
    fleet.planner.onAnswer({ vm: 'vm-a', wave: 7 }, 'refused', fleet.now);
    expect(fleet.isOpen('a')).toBe(true);
  });

  it('reopens a worker when its VM leaves the list while the worker is evacuated', () => {
    const fleet = new MaintainedFleet(['a']);
    addBigTask(fleet, { longRunning: true, requiredLabel: '' });
    fleet.run(100);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, fleet.now);
    fleet.run(200);
    fleet.vms = [];
    fleet.run(200 + MAX_WAIT_MS);
    expect(fleet.isOpen('a')).toBe(true);
  });
});
