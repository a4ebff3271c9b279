import { describe, expect, it } from 'vitest';
import type { Worker as JobWorker, StepSpec, Task } from '../../src/jobs';
import { chooseForGang, chooseWorker, JobRun, Worker } from '../../src/jobs';
import { job, step, worker } from './support/jobs';

function tasksOf(parts: Partial<StepSpec>): Task[] {
  return new JobRun(job('00000000000000a1', [step(parts)])).occurrences.flatMap((one) =>
    one.steps.flatMap((made) => made.tasks),
  );
}

function workers(...parts: Parameters<typeof worker>[1][]): Worker[] {
  return parts.map((part, index) => new Worker(worker(`w${index}`, part), 0));
}

function placeAll(tasks: readonly Task[], among: readonly JobWorker[]): (string | undefined)[] {
  return tasks.map((task) => {
    const chosen = chooseWorker(task, among, undefined);
    if (chosen !== undefined) {
      task.assign(chosen, 1, 0);
    }
    return chosen?.info.id;
  });
}

// Guards against runs that workers refuse, and against a spread that keeps every VM in use.
describe('placement', () => {
  it('fills one worker with tasks that end before it takes the next, so that VMs become free', () => {
    expect(placeAll(tasksOf({ count: 5 }), workers({}, {}, {}))).toEqual(['w0', 'w0', 'w0', 'w0', 'w1']);
  });

  it('spreads tasks that last over racks', () => {
    const among = workers({ rack: 'r1' }, { rack: 'r1' }, { rack: 'r2' });
    const racks = placeAll(tasksOf({ count: 2, longRunning: true }), among);
    expect(new Set(racks)).toContain('w2');
    expect(new Set(racks).size).toBe(2);
  });

  it('gives tasks that require a label to workers that have it, and to no others', () => {
    const among = workers({}, { labels: ['big'] });
    expect(placeAll(tasksOf({ count: 5, requiredLabel: 'big' }), among)).toEqual([
      'w1',
      'w1',
      'w1',
      'w1',
      undefined,
    ]);
  });

  it('puts no more tasks of a step on a worker than allowed', () => {
    const placed = placeAll(tasksOf({ count: 3, maxPerWorker: 1 }), workers({}, {}));
    expect(placed).toEqual(['w0', 'w1', undefined]);
  });

  it('prefers the rack of the data, and the rack of the step where tasks must be near each other', () => {
    const among = workers({ labels: ['a', 'r1'], rack: 'r1' }, { labels: ['a', 'r2'], rack: 'r2' });
    expect(placeAll(tasksOf({ preferredRack: 'r2' }), among)).toEqual(['w1']);
    expect(placeAll(tasksOf({ count: 3, rackSensitive: true }), among)).toEqual(['w1', 'w1', 'w1']);
  });

  it('never exceeds room of any kind', () => {
    const demand = { cpuMilli: 100, gpus: 0, memoryMb: 600 };
    expect(placeAll(tasksOf({ count: 2, demand }), workers({}))).toEqual(['w0', undefined]);
    const gpu = { cpuMilli: 100, gpus: 1, memoryMb: 1 };
    expect(placeAll(tasksOf({ demand: gpu }), workers({}))).toEqual([undefined]);
  });

  it('tries another worker than the one on which the task failed', () => {
    const [task] = tasksOf({});
    const among = workers({}, {});
    if (task !== undefined) {
      task.lastFailedOn = 'w0';
      expect(chooseWorker(task, among, undefined)?.info.id).toBe('w1');
    }
  });

  it('places a gang whole or not at all, also when its members need several workers', () => {
    const among = workers({}, {});
    const [first] = tasksOf({ count: 6, gang: true });
    const [wide] = tasksOf({ count: 9, gang: true });
    expect(first && chooseForGang(first.step, among, undefined)?.size).toBe(6);
    expect(wide && chooseForGang(wide.step, among, undefined)).toBeUndefined();
    expect(among.map((one) => one.runs.size)).toEqual([0, 0]);
  });
});
