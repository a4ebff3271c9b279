import { describe, expect, it } from 'vitest';
import type { MoveAnswer } from '../../src/jobs';
import { job, report, step } from '../jobs/support/jobs';
import { MaintainedFleet } from './support/maintained-fleet';

/** Longest time that a task may wait for a worker that is closed without need, in ms. */
const MAX_WAIT_MS = 3000;

const BIG_TASK = 'big.0.0.0';

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
  const answers: [name: string, answer: (count: number) => MoveAnswer | undefined][] = [
    ['is not answered at all', () => undefined],
    ['gets no clear answer', () => 'unknown'],
    ['is refused after it got no clear answer', (count) => (count === 1 ? 'unknown' : 'refused')],
    [
      'gets no clear answer again and again between refusals',
      (count) => (count % 2 === 1 ? 'unknown' : 'refused'),
    ],
  ];

  it.each(answers)('starts a waiting task on a worker whose move %s', (_, answer) => {
    const fleet = createFleet();
    let count = 0;
    fleet.answerMove = () => answer((count += 1));
    fleet.run(200);
    expect(fleet.moveOrders[0]).toEqual({ pool: 'other', vm: 'vm-a' });
    expect(fleet.isOpen('a')).toBe(false);
    addBigTask(fleet);
    fleet.run(fleet.now + MAX_WAIT_MS);
    expect(fleet.startsOf(BIG_TASK).map(([, id]) => id)).toEqual(['a']);
  });

  it('starts a waiting task on the worker of a VM that fails during its move', () => {
    const fleet = createFleet();
    fleet.run(200);
    fleet.updateVm('vm-a', { state: 'down' });
    addBigTask(fleet);
    fleet.run(fleet.now + MAX_WAIT_MS);
    expect(fleet.startsOf(BIG_TASK)).toHaveLength(1);
  });

  it('prefers other workers to one whose VM an unanswered order may still take, and orders that VM nowhere else', () => {
    const fleet = createFleet('c');
    fleet.answerMove = () => 'unknown';
    fleet.run(2500);
    expect(fleet.worker('a').isAtRisk(fleet.now)).toBe(true);
    expect(fleet.isOpen('a')).toBe(true);
    // The worker with the longest remaining risk would be the fullest, and is used last nevertheless.
    addBigTask(fleet, { demand: { cpuMilli: 1000, gpus: 0, memoryMb: 100 } });
    fleet.run(2600);
    fleet.scheduler.onJob(job('any', [step({ count: 3 })]), [], fleet.now, fleet.now);
    fleet.run(2700);
    const workers = ['any.0.0.0', 'any.0.0.1', 'any.0.0.2'].flatMap((task) => fleet.startsOf(task));
    expect(workers).toHaveLength(3);
    expect(workers.filter(([, id]) => fleet.worker(id).isAtRisk(fleet.now))).toEqual([]);
    expect(fleet.moveOrders.filter(({ pool, vm }) => vm === 'vm-a' && pool !== 'other')).toEqual([]);
  });

  it('repeats no order for the VM of a worker that has been reopened, so that it does not end the tasks itself', () => {
    const fleet = createFleet();
    fleet.run(200);
    addBigTask(fleet);
    fleet.run(2500);
    const { length } = fleet.moveOrders.filter(({ vm }) => vm === 'vm-a');
    expect(fleet.startsOf(BIG_TASK)).toHaveLength(1);
    fleet.run(20_000);
    expect(fleet.moveOrders.filter(({ vm }) => vm === 'vm-a')).toHaveLength(length);
    expect(fleet.worker('a').isAtRisk(fleet.now)).toBe(false);
  });

  it('does not place a second task of a step that may miss one at a time where an order may still take it', () => {
    const fleet = createFleet();
    fleet.run(2500);
    fleet.vms = [];
    addBigTask(fleet, { count: 2, longRunning: true, mayMiss: 1 });
    for (const item of fleet.scheduler.jobs.get('big')?.steps() ?? []) {
      for (const task of item.unfinishedTasks()) {
        task.phaseSince = fleet.now;
      }
    }
    fleet.run(fleet.now + 1000);
    expect(fleet.startsOf(BIG_TASK)).toEqual([]);
    fleet.run(fleet.now + 2000);
    expect(fleet.startsOf(BIG_TASK)).toHaveLength(1);
  });

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

  it('starts a waiting task on a worker whose maintenance order is not answered', () => {
    const fleet = new MaintainedFleet(['a', { labels: ['big'] }], ['b']);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, 0);
    fleet.run(100);
    addBigTask(fleet);
    fleet.run(100 + MAX_WAIT_MS);
    expect(fleet.startsOf(BIG_TASK).map(([, id]) => id)).toEqual(['a']);
  });

  it('starts a long-running task that waits for a worker which cannot be evacuated without it', () => {
    const fleet = new MaintainedFleet(['a', { labels: ['big'] }], ['b']);
    const demand = { cpuMilli: 2000, gpus: 0, memoryMb: 100 };
    addBigTask(fleet, { count: 2, demand, longRunning: true, mayMiss: 1 });
    fleet.run(100);
    fleet.scheduler.onReport(fleet.worker('a'), report([[BIG_TASK, 1]]), fleet.now, fleet.now);
    const other = 'big.0.0.1';
    expect(fleet.startsOf(other)).toEqual([[100, 'a']]);
    fleet.run(200);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, fleet.now);
    for (let second = 0; second < 6; second += 1) {
      fleet.run(fleet.now + 1000);
      const running: [string, number][] =
        fleet.startsOf(other).length > 1
          ? [
              [BIG_TASK, 1],
              [other, 2],
            ]
          : [[BIG_TASK, 1]];
      fleet.scheduler.onReport(fleet.worker('a'), report(running), fleet.now, fleet.now);
    }
    expect(fleet.startsOf(other)).toHaveLength(2);
  });

  it('takes down no more VMs of a wave than allowed while an order without an answer may still be carried out', () => {
    const fleet = new MaintainedFleet(['a'], ['b'], ['c'], ['d']);
    fleet.answerMaintenance = () => 'unknown';
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a', 'vm-b'] }, 0);
    fleet.run(14_000);
    expect(new Set(fleet.maintenanceOrders.map((order) => order.vm))).toEqual(new Set(['vm-a']));
  });

  it('begins the maintenance of a VM that was given up by the late answer to its order, and goes on', () => {
    const fleet = new MaintainedFleet(['a'], ['b'], ['c'], ['d'], ['o', { pool: 'other' }]);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a', 'vm-b'] }, 0);
    fleet.run(2500);
    expect(fleet.isOpen('a')).toBe(true);
    fleet.planner.onAnswer({ vm: 'vm-a', wave: 7 }, 'begun', fleet.now);
    expect(fleet.scheduler.workers.has('a')).toBe(false);
    fleet.updateVm('vm-a', { state: 'maintenance', workerId: '' });
    fleet.run(5000);
    expect(fleet.maintenanceOrders.filter((order) => order.vm === 'vm-b')).toEqual([]);
    fleet.updateVm('vm-a', { state: 'up' });
    fleet.run(6000);
    expect(fleet.maintenanceOrders.filter((order) => order.vm === 'vm-b')).not.toEqual([]);
  });

  it('orders the maintenance of a VM again once the VM service answers', () => {
    const fleet = new MaintainedFleet(['a'], ['b']);
    fleet.answerMaintenance = () => (fleet.now > 4000 ? 'begun' : 'unknown');
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, 0);
    fleet.run(8000);
    expect(fleet.scheduler.workers.has('a')).toBe(false);
  });

  it('evacuates another VM of a wave when one cannot be emptied', () => {
    const fleet = new MaintainedFleet(['a', { labels: ['big'] }], ['b']);
    const demand = { cpuMilli: 2000, gpus: 0, memoryMb: 100 };
    addBigTask(fleet, { count: 2, demand, longRunning: true, mayMiss: 1 });
    fleet.run(100);
    fleet.scheduler.onJob(job('load', [step({ count: 4 })]), [], fleet.now, fleet.now);
    fleet.run(200);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a', 'vm-b'] }, fleet.now);
    fleet.run(10_000);
    const emptied = fleet.decisions
      .filter(({ decision }) => decision === 'vm-emptied')
      .map(({ data }) => data.vm);
    expect(emptied.slice(0, 2)).toEqual(['vm-a', 'vm-b']);
  });

  it('moves no VM and evacuates no worker while the VM list is not available', () => {
    const fleet = new MaintainedFleet(['a'], ['b'], ['c'], ['o', { pool: 'other' }]);
    fleet.run(100);
    fleet.isListing = false;
    fleet.run(200);
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-a'] }, fleet.now);
    fleet.scheduler.onJob({ ...job('elsewhere', [step({ count: 8 })]), pool: 'other' }, [], 200, 200);
    for (let round = 0; round < 100; round += 1) {
      fleet.run(fleet.now + 100);
      expect(['a', 'b', 'c'].filter((id) => !fleet.isOpen(id))).toEqual([]);
    }
    fleet.isListing = true;
    fleet.run(fleet.now + 100);
    expect(fleet.moveOrders).not.toEqual([]);
    expect(fleet.maintenanceOrders).not.toEqual([]);
  });

  it('does not count a VM as down, or its worker as at risk, for orders that the service was too busy to accept', () => {
    const fleet = createFleet('c', 'd', 'e', 'f', 'g');
    fleet.answerMove = () => 'limited';
    fleet.answerMaintenance = () => 'limited';
    fleet.planner.onWave({ durationMs: 60_000, id: 7, maxAtOnce: 1, vms: ['vm-f', 'vm-g'] }, 0);
    fleet.run(5000);
    expect(fleet.scheduler.workers.size).toBe(7);
    expect([...fleet.scheduler.workers.values()].filter((item) => item.isAtRisk(fleet.now))).toEqual([]);
    expect(new Set(fleet.maintenanceOrders.map(({ vm }) => vm)).size).toBe(2);
  });
});
