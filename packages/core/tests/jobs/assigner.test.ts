import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Job, StepSpec, Task, WorkerInfo } from '../../src/jobs';
import { chooseWorker, chooseWorkersForGang, JobRun, RUN_END, Scheduler, Worker } from '../../src/jobs';
import { compareRanks, rankJob } from '../../src/jobs/job-rank';
import { RunTimeEstimator } from '../../src/jobs/run-time-estimator';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const WALL_NOW = 1500;
type Assignment = [task: string, worker: string];

const demands = fc.record({
  cpuMilli: fc.constantFrom(100, 333.3, 1500, 3300),
  gpus: fc.constantFrom(0, 0, 0, 1),
  memoryMb: fc.constantFrom(10, 100.1, 400),
});

const steps: fc.Arbitrary<StepSpec> = fc
  .record({
    count: fc.integer({ max: 5, min: 1 }),
    demand: demands,
    estimatedMs: fc.integer({ max: 3000, min: 0 }),
    fillsIdle: fc.constantFrom(false, false, true),
    gang: fc.constantFrom(false, false, true),
    longRunning: fc.constantFrom(false, false, true),
    maxPerWorker: fc.constantFrom(0, 0, 1),
    requiredLabel: fc.constantFrom('', '', 'big'),
  })
  .map((parts) => step(parts));

const jobSpecs = fc.array(
  fc.record({
    acceptedAt: fc.integer({ max: WALL_NOW, min: 0 }),
    first: steps,
    second: fc.option(steps, { nil: undefined }),
  }),
  { maxLength: 12 },
);

const workerParts = fc.array(
  fc.record({
    capacity: fc.record({
      cpuMilli: fc.constantFrom(999.9, 4000, 6600),
      gpus: fc.constantFrom(0, 2),
      memoryMb: fc.constantFrom(200.2, 1000),
    }),
    labels: fc.constantFrom<string[][]>([], ['big']),
    rack: fc.constantFrom('r1', 'r2'),
  }),
  { maxLength: 5 },
);

function createJobs(specs: typeof jobSpecs extends fc.Arbitrary<infer T> ? T : never): Job[] {
  return specs.map(({ acceptedAt, first, second }, index) => ({
    ...job(`j${index}`, second === undefined ? [first] : [first, { ...second, after: [0] }]),
    acceptedAt,
  }));
}

// Assigns like the scheduler, but ranks all jobs and tries every step on every worker.
class PlainAssigner {
  readonly runs: JobRun[];
  readonly workers: Worker[];

  constructor(infos: readonly WorkerInfo[], jobs: readonly Job[]) {
    this.runs = jobs.map((item) => new JobRun(item));
    this.workers = infos.map((info) => new Worker(info, 0));
  }

  assign(): Assignment[] {
    const times = new RunTimeEstimator();
    const [queue] = config().queues;
    const ranked = this.runs
      .map((run) => ({ rank: rankJob(run, queue, times, WALL_NOW), run }))
      .sort((a, b) => compareRanks(a.rank, b.rank));
    const readySteps = ranked.flatMap(({ run }) => run.readySteps());
    return readySteps.flatMap((item) => this.#assignStep(item));
  }

  // In the order in which the scheduler reads the ends, since the rounding of sums depends on the order.
  finish(finished: readonly Assignment[]): void {
    const tasks = new Map(this.runs.flatMap(unfinishedTasksOf).map((task) => [task.name, task]));
    for (const { info } of this.workers) {
      for (const [name] of finished.filter(([, id]) => id === info.id)) {
        const task = tasks.get(name);
        task?.applyEvent('finish', 0);
        const members = task?.step.spec.gang === true ? [...task.step.unfinishedTasks()] : [];
        members.forEach((member) => member.applyEvent('finish', 0));
      }
    }
  }

  #assignStep(item: JobRun['occurrences'][number]['steps'][number]): Assignment[] {
    if (item.spec.gang) {
      const isComplete = item.waitingCount === item.spec.count;
      const chosen = isComplete ? chooseWorkersForGang(item, this.workers, undefined) : undefined;
      return [...(chosen ?? [])].map(([task, target]) => {
        task.assign(target, 1, 0);
        return [task.name, target.info.id];
      });
    }
    const assigned: Assignment[] = [];
    for (const task of [...item.unfinishedTasks()].filter(({ phase }) => phase === 'waiting')) {
      const target = chooseWorker(task, this.workers, undefined);
      if (target !== undefined) {
        task.assign(target, 1, 0);
        assigned.push([task.name, target.info.id]);
      }
    }
    return assigned;
  }
}

function unfinishedTasksOf(run: JobRun): Task[] {
  return [...run.steps()].flatMap((item) => [...item.unfinishedTasks()]);
}

function createScheduler(infos: readonly WorkerInfo[], jobs: readonly Job[]): Scheduler {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  for (const info of infos) {
    scheduler.onWorkerRegistered(info, 0);
  }
  for (const item of scheduler.workers.values()) {
    scheduler.onReport(item, report(), 0, 0);
  }
  for (const item of jobs) {
    scheduler.onJob(item, [], 0, WALL_NOW);
  }
  return scheduler;
}

function planAssignments(scheduler: Scheduler): Assignment[] {
  return scheduler.plan(0, WALL_NOW).starts.map(({ task, worker: target }) => [task.name, target.info.id]);
}

// The runs that remain are in the phase in which an order is being sent, so a report need not list them.
function finishRuns(scheduler: Scheduler, finished: readonly Assignment[]): void {
  for (const item of scheduler.workers.values()) {
    const names = finished.flatMap(([task, id]) => (id === item.info.id ? [task] : []));
    const ends = names.map(
      (task, index) => [item.endsRead + index + 1, task, 1, RUN_END.done] as [number, string, 1, 'done'],
    );
    scheduler.onReport(item, report([], ends), 0, 0);
  }
}

// Guards against shortcuts in the assignment that skip a job or a step for which there is room.
describe('Assigner', () => {
  it('assigns the same tasks to the same workers as a search over all jobs, steps and workers', () => {
    fc.assert(
      fc.property(workerParts, jobSpecs, fc.integer({ max: 4, min: 1 }), (parts, specs, finishEvery) => {
        const infos = parts.map((item, index) => worker(`w${index}`, item));
        const jobs = createJobs(specs);
        const scheduler = createScheduler(infos, jobs);
        const plain = new PlainAssigner(infos, jobs);
        for (let round = 0; round < 2; round += 1) {
          const assigned = planAssignments(scheduler);
          expect(assigned).toEqual(plain.assign());
          const finished = assigned.filter(
            ([task], index) => index % finishEvery === 0 && !isLongRunning(jobs, task),
          );
          finishRuns(scheduler, finished);
          plain.finish(finished);
        }
        expect(planAssignments(scheduler)).toEqual(plain.assign());
      }),
      { numRuns: 400 },
    );
  });

  it('asks for the advice on a step before a worker has room for it', () => {
    const cfg = config();
    const advice = { decisionMs: 7, perWorkerMs: 1, validityMs: 1000 };
    const asked: string[] = [];
    const scheduler = new Scheduler(
      SCHEDULER_SETTINGS,
      () => undefined,
      (policy, item) => {
        asked.push(`${String(policy.advice?.decisionMs)} ${item.spec.demand.cpuMilli}`);
        return new Set();
      },
    );
    scheduler.onConfig({ ...cfg, queues: cfg.queues.map((queue) => ({ ...queue, advice })) });
    scheduler.onWorkerRegistered(worker('w0'), 0);
    for (const item of scheduler.workers.values()) {
      scheduler.onReport(item, report(), 0, 0);
    }
    scheduler.onJob(job('j0', [step({ demand: { cpuMilli: 5000, gpus: 0, memoryMb: 0 } })]), [], 0, 0);
    expect(scheduler.plan(0, 0).starts).toEqual([]);
    expect(asked).toEqual(['7 5000']);
  });
});

// Guards against a task that waits on although it may use a worker, since another task of its step may not yet.
describe('a worker whose VM may be taken without notice', () => {
  it('runs the task of a step that has waited longest, although one before it in the step has just begun to', () => {
    const now = 10_000;
    const scheduler = createScheduler([worker('risky')], []);
    scheduler.workers.get('risky')?.vmRisks.set('holder', { holder: 'holder', until: Infinity });
    scheduler.onJob(job('j', [step({ count: 2, longRunning: true, mayMiss: 1 })]), [], now, WALL_NOW);
    const run = scheduler.jobs.get('j');
    const [first, second] = run === undefined ? [] : unfinishedTasksOf(run);
    for (const [task, waitedMs] of [
      [first, 600],
      [second, 1600],
    ] as const) {
      task?.assign(new Worker(worker('lost'), 0), 1, now - waitedMs);
      task?.applyEvent('release', now - waitedMs);
    }
    scheduler.requestAssignment();
    expect(scheduler.plan(now, WALL_NOW).starts.map(({ task }) => task.name)).toEqual(['j.0.0.1']);
  });
});

function isLongRunning(jobs: readonly Job[], task: string): boolean {
  const [id, , stepIndex] = task.split('.');
  const found = jobs.find((item) => item.id === id);
  return found?.spec.steps[Number(stepIndex)]?.longRunning === true;
}
