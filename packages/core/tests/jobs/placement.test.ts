import { describe, expect, it } from 'vitest';
import type { Worker as JobWorker, StepSpec, Task } from '../../src/jobs';
import { chooseWorker, chooseWorkersForGang, JobRun, Worker } from '../../src/jobs';
import { job, step, worker } from './support/jobs';

function tasksOf(parts: Partial<StepSpec>): Task[] {
  return new JobRun(job('00000000000000a1', [step(parts)])).occurrences.flatMap((occurrence) =>
    occurrence.steps.flatMap((stepRun) => [...stepRun.unfinishedTasks()]),
  );
}

function workers(...parts: Parameters<typeof worker>[1][]): Worker[] {
  return parts.map((part, index) => new Worker(worker(`w${index}`, part), 0));
}

function placeAll(tasks: readonly Task[], candidates: readonly JobWorker[]): (string | undefined)[] {
  return tasks.map((task) => {
    const chosen = chooseWorker(task, candidates, undefined);
    if (chosen !== undefined) {
      task.assign(chosen, 1, 0);
    }
    return chosen?.info.id;
  });
}

// Guards against assignments that workers refuse, and against a placement that keeps every VM in use.
describe('placement', () => {
  it('packs finite tasks onto one worker before it uses the next, so that VMs become free', () => {
    expect(placeAll(tasksOf({ count: 5 }), workers({}, {}, {}))).toEqual(['w0', 'w0', 'w0', 'w0', 'w1']);
  });

  it('spreads long-running tasks over racks', () => {
    const candidates = workers({ rack: 'r1' }, { rack: 'r1' }, { rack: 'r2' });
    const racks = placeAll(tasksOf({ count: 2, longRunning: true }), candidates);
    expect(new Set(racks)).toContain('w2');
    expect(new Set(racks).size).toBe(2);
  });

  it('keeps a long-running step on few workers, at most a third of it on one worker and in one rack', () => {
    const racks = ['r1', 'r1', 'r2', 'r2', 'r3', 'r3'];
    const candidates = workers(...racks.map((rack) => ({ rack })));
    const demand = { cpuMilli: 500, gpus: 0, memoryMb: 100 };
    const placed = placeAll(tasksOf({ count: 6, demand, longRunning: true }), candidates);
    const counts = candidates.map((item) => placed.filter((id) => id === item.info.id).length);
    expect(counts.filter((count) => count > 0)).toEqual([2, 2, 2]);
    expect(new Set(candidates.filter((item) => item.runs.size > 0).map((item) => item.info.rack)).size).toBe(
      3,
    );
  });

  it('places a long-running step beyond its share of a worker when there is no other worker', () => {
    const demand = { cpuMilli: 500, gpus: 0, memoryMb: 100 };
    const placed = placeAll(tasksOf({ count: 6, demand, longRunning: true }), workers({}));
    expect(placed).toEqual(Array.from({ length: 6 }, () => 'w0'));
  });

  it('assigns tasks that require a label only to workers with that label', () => {
    const candidates = workers({}, { labels: ['big'] });
    expect(placeAll(tasksOf({ count: 5, requiredLabel: 'big' }), candidates)).toEqual([
      'w1',
      'w1',
      'w1',
      'w1',
      undefined,
    ]);
  });

  it('respects the maximum number of tasks of a step per worker', () => {
    const placed = placeAll(tasksOf({ count: 3, maxPerWorker: 1 }), workers({}, {}));
    expect(placed).toEqual(['w0', 'w1', undefined]);
  });

  it('prefers the rack of the data, and for rack-sensitive steps the rack of the other tasks', () => {
    const candidates = workers({ labels: ['a', 'r1'], rack: 'r1' }, { labels: ['a', 'r2'], rack: 'r2' });
    expect(placeAll(tasksOf({ preferredRack: 'r2' }), candidates)).toEqual(['w1']);
    expect(placeAll(tasksOf({ count: 3, rackSensitive: true }), candidates)).toEqual(['w1', 'w1', 'w1']);
  });

  it('never exceeds the capacity of any resource', () => {
    const demand = { cpuMilli: 100, gpus: 0, memoryMb: 600 };
    expect(placeAll(tasksOf({ count: 2, demand }), workers({}))).toEqual(['w0', undefined]);
    const gpu = { cpuMilli: 100, gpus: 1, memoryMb: 1 };
    expect(placeAll(tasksOf({ demand: gpu }), workers({}))).toEqual([undefined]);
  });

  it('prefers a worker other than the one on which the task failed', () => {
    const [task] = tasksOf({});
    const candidates = workers({}, {});
    if (task !== undefined) {
      task.lastFailedWorkerId = 'w0';
      expect(chooseWorker(task, candidates, undefined)?.info.id).toBe('w1');
    }
  });

  it('places either all members of a gang or none, also when they need several workers', () => {
    const candidates = workers({}, {});
    const [fitting] = tasksOf({ count: 6, gang: true });
    const [tooLarge] = tasksOf({ count: 9, gang: true });
    expect(fitting && chooseWorkersForGang(fitting.step, candidates, undefined)?.size).toBe(6);
    expect(tooLarge && chooseWorkersForGang(tooLarge.step, candidates, undefined)).toBeUndefined();
    expect(candidates.map((item) => item.runs.size)).toEqual([0, 0]);
  });
});
