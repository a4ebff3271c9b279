import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Demand, ReportedEnd, ReportedRun, Scheduler, StartOrder, StepSpec } from '../../src/jobs';
import { RUN_END, START_ANSWER } from '../../src/jobs';
import { step, worker } from './support/jobs';
import { configWith, createScheduler, jobOf, workspace } from './support/workspaces';

const RESOURCES = ['cpuMilli', 'gpus', 'memoryMb'] as const;
const NAMES = ['a', 'b', 'gone'] as const;
const WORKERS = ['w0', 'w1', 'w2', 'w3'] as const;

/** Allowance for the rounding of sums in the check, in any unit. */
const ROUNDING = 1e-6;

const specs: fc.Arbitrary<StepSpec> = fc
  .record({
    count: fc.integer({ max: 6, min: 1 }),
    demand: fc.record({
      cpuMilli: fc.constantFrom(0, 0.3, 333.3, 1000, 3300),
      gpus: fc.constantFrom(0, 0, 0.1, 1),
      memoryMb: fc.constantFrom(0, 10, 100.1, 900),
    }),
    fillsIdle: fc.boolean(),
    gang: fc.constantFrom(false, false, true),
    longRunning: fc.constantFrom(false, false, true),
  })
  .map((parts) => step(parts));

const limits = fc.record({
  cpuMilli: fc.constantFrom(0, 0.9, 1000, 2500, 6600),
  gpus: fc.constantFrom(0, 0, 1, 2.5),
  memoryMb: fc.constantFrom(0, 200, 1000, 2000),
});

const anyWorker = fc.nat({ max: WORKERS.length - 1 });

type Event =
  | {
      kind: 'cancel' | 'job';
      job: number;
      spec: StepSpec;
      name: (typeof NAMES)[number] | undefined;
      pool: string;
    }
  | { kind: 'config'; maxima: Demand[] }
  | { kind: 'plan'; answers: number }
  | { endsRuns: boolean; kind: 'report'; listsOrphan: boolean; listsRuns: boolean; target: number }
  | { kind: 'deregister' | 'expire' | 'register' | 'restart' | 'silence'; target: number };

const events: fc.Arbitrary<Event> = fc.oneof(
  {
    arbitrary: fc.record({
      job: fc.nat({ max: 9 }),
      kind: fc.constantFrom('job' as const, 'job' as const, 'cancel' as const),
      name: fc.constantFrom(...NAMES, undefined),
      pool: fc.constantFrom('p', 'q'),
      spec: specs,
    }),
    weight: 4,
  },
  { arbitrary: fc.record({ answers: fc.nat(), kind: fc.constant('plan' as const) }), weight: 6 },
  {
    arbitrary: fc.record({
      endsRuns: fc.boolean(),
      kind: fc.constant('report' as const),
      listsOrphan: fc.constantFrom(false, false, true),
      listsRuns: fc.boolean(),
      target: anyWorker,
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('config' as const),
      maxima: fc.array(limits, { maxLength: 2, minLength: 0 }),
    }),
    weight: 2,
  },
  {
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'deregister' as const,
        'expire' as const,
        'register' as const,
        'restart' as const,
        'silence' as const,
      ),
      target: anyWorker,
    }),
    weight: 3,
  },
);

function noUse(): Demand {
  return { cpuMilli: 0, gpus: 0, memoryMb: 0 };
}

function addTo(sum: Demand, demand: Demand): void {
  for (const resource of RESOURCES) {
    sum[resource] += demand[resource];
  }
}

// What the workers' runs and orphaned runs reserve, as an independent sum.
function recount(scheduler: Scheduler, name: string): Demand {
  const sum = noUse();
  for (const { finishedMembers, orphans, runs } of scheduler.workers.values()) {
    const assigned = [...runs.values()].map((task) => task.step);
    for (const item of [...assigned, ...finishedMembers.steps, ...orphans.steps]) {
      if (item.job.job.workspace === name) {
        addTo(sum, item.spec.demand);
      }
    }
  }
  return sum;
}

/** Drives a scheduler with events and checks what it counts and starts. */
class CheckedScheduler {
  #bornAt = 1;
  #ends = new Map<string, number>();
  #limits = new Map<string, Demand>();
  #now = 1000;
  readonly scheduler = createScheduler(configWith(undefined), { p: ['w0', 'w1'], q: ['w2', 'w3'] });

  apply(event: Event): void {
    this.#now += 50;
    switch (event.kind) {
      case 'cancel':
        this.scheduler.onCancel(`j${event.job}`, this.#now);
        break;
      case 'config':
        this.#configure(event.maxima);
        break;
      case 'job': {
        const item = jobOf(event.name, `j${event.job}`, [event.spec], event.pool);
        this.scheduler.onJob(item, [], this.#now, this.#now);
        break;
      }
      case 'plan':
        this.#plan(event.answers);
        break;
      case 'report':
        this.#report(event);
        break;
      default:
        this.#disturb(event.kind, event.target);
    }
    this.#checkRecount();
  }

  #configure(maxima: Demand[]): void {
    this.#limits = new Map(maxima.map((maximum, index) => [NAMES[index] ?? '', maximum]));
    this.scheduler.onConfig(configWith([...this.#limits].map(([name, maximum]) => workspace(name, maximum))));
  }

  #plan(answers: number): void {
    const before = new Map(NAMES.map((name) => [name as string, recount(this.scheduler, name)]));
    const { starts } = this.scheduler.plan(this.#now, this.#now);
    this.#checkStarts(starts, before);
    starts.forEach((order, index) => {
      this.scheduler.onStartSent(order);
      const answer = [START_ANSWER.started, START_ANSWER.noAnswer, START_ANSWER.refused][
        (answers + index) % 3
      ];
      this.scheduler.onStartAnswer(order, answer ?? START_ANSWER.started, this.#now + 1);
    });
  }

  // The rule of the page, task by task and gang by gang, in the order of the plan.
  #checkStarts(starts: readonly StartOrder[], use: ReadonlyMap<string, Demand>): void {
    for (let index = 0; index < starts.length;) {
      const { step: own } = starts[index]?.task ?? {};
      const { workspace: name = '' } = own?.job.job ?? {};
      const count = own?.spec.gang === true ? own.spec.count : 1;
      const members = starts.slice(index, index + count);
      expect(members.map(({ task }) => task.step)).toEqual(Array(count).fill(own));
      const sum = use.get(name) ?? noUse();
      const demand = own?.spec.demand ?? noUse();
      const limited = RESOURCES.filter((resource) => (this.#limits.get(name)?.[resource] ?? 0) > 0);
      const maximum = this.#limits.get(name) ?? noUse();
      const isUnderHalf = limited.every((resource) => sum[resource] < maximum[resource] / 2 - ROUNDING);
      members.forEach(() => {
        addTo(sum, demand);
      });
      for (const resource of limited) {
        const allowed = isUnderHalf ? maximum[resource] + demand[resource] : maximum[resource];
        expect(sum[resource]).toBeLessThanOrEqual(allowed + ROUNDING);
        // By less than one task, unless the task takes nothing.
        expect(isUnderHalf && demand[resource] > 0 ? sum[resource] < allowed : true).toBe(true);
      }
      index += count;
    }
  }

  #report({ endsRuns, listsOrphan, listsRuns, target }: Extract<Event, { kind: 'report' }>): void {
    const known = this.scheduler.workers.get(WORKERS[target] ?? '');
    if (known === undefined) {
      return;
    }
    const rows = [...known.runs.values()].map(({ name, run }): ReportedRun => ({
      checkpoint: '',
      load: 0,
      percent: 1,
      run,
      task: name,
    }));
    const orphan: ReportedRun = { checkpoint: '', load: 0, percent: 1, run: 99, task: `j${target}.0.0.0` };
    const ended = endsRuns
      ? rows.slice(0, 1).map(({ run, task }): ReportedEnd => {
          const number = (this.#ends.get(known.info.id) ?? 0) + 1;
          this.#ends.set(known.info.id, number);
          return { checkpoint: '', end: number % 3 === 0 ? RUN_END.failed : RUN_END.done, number, run, task };
        })
      : [];
    const running = [...(listsRuns ? rows.slice(ended.length) : []), ...(listsOrphan ? [orphan] : [])];
    const content = { bornAt: known.info.bornAt, clockMs: this.#now, ended, running };
    this.scheduler.onReport(known, content, this.#now, this.#now);
  }

  #disturb(kind: 'deregister' | 'expire' | 'register' | 'restart' | 'silence', target: number): void {
    const id = WORKERS[target] ?? '';
    const pool = target < 2 ? 'p' : 'q';
    const known = this.scheduler.workers.get(id);
    const capacity = { cpuMilli: 8000, gpus: 8, memoryMb: 8000 };
    if (kind === 'deregister') {
      this.scheduler.onWorkerDeregistered(id);
    } else if (kind === 'register') {
      this.scheduler.onWorkerRegistered(
        worker(id, { bornAt: known?.info.bornAt ?? this.#bornAt, capacity, pool }),
        this.#now,
      );
    } else if (kind === 'restart') {
      this.#bornAt += 1;
      this.#ends.delete(id);
      this.scheduler.onWorkerRegistered(worker(id, { bornAt: this.#bornAt, capacity, pool }), this.#now);
    } else if (kind === 'silence' && known !== undefined) {
      this.scheduler.onWorkerUnresponsive(known, this.#now);
    } else if (kind === 'expire') {
      this.#now += 20_000;
      this.scheduler.tick(this.#now, this.#now);
    }
  }

  #checkRecount(): void {
    const loads = new Map(this.scheduler.workspaceLoads().map((load) => [load.workspace, load]));
    for (const name of NAMES) {
      const counted = recount(this.scheduler, name);
      const reserved = loads.get(name)?.reservedCpuMilli ?? 0;
      expect(Math.abs(reserved - counted.cpuMilli), name).toBeLessThan(ROUNDING);
      const use = this.scheduler.workspaceUseOf(name);
      for (const resource of RESOURCES) {
        expect(Math.abs(use[resource] - counted[resource]), `${name} ${resource}`).toBeLessThan(ROUNDING);
      }
    }
  }
}

describe('use of the workspaces', () => {
  // Guards against a use that drifts from what is assigned, so that a workspace is limited too early or too late.
  it('equals a recount after any events, and no start exceeds the maximum by a whole task', () => {
    let starts = 0;
    fc.assert(
      fc.property(fc.array(events, { maxLength: 60, minLength: 10 }), (sequence) => {
        const checked = new CheckedScheduler();
        sequence.forEach((event) => {
          checked.apply(event);
        });
        starts += [...checked.scheduler.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0);
      }),
      { numRuns: 600, seed: 20 },
    );
    expect(starts).toBeGreaterThan(600);
  });
});
