import type { Job, KeyedRecord, Plan, StartOrder, TaskRecord, Worker } from '../../../src/jobs';
import { decodeTaskRecord, longestLeaseMs, Scheduler, START_ANSWER } from '../../../src/jobs';
import { config, job, step } from './jobs';
import { VirtualWorker } from './virtual-worker';

/** What a world does wrong, each as a probability of an order or of a step. */
export interface Faults {
  /** A worker is cut off for some seconds. */
  cut: number;
  /** An order is carried out seconds later and has no answer. */
  late: number;
  /** Another leader takes over. */
  leader: number;
  /** An order is carried out and its answer is lost. */
  lost: number;
  /** A worker begins a new life. */
  restart: number;
}

const STEP_MS = 20;
const LEASE_MS = 1000;
const FRESH_MS = 800;
const REPORT_PERIOD_MS = 100;
const LATE_MS = 2500;
const CUT_MS = 1800;
const WORKERS = 4;
const ROOM = 3;

interface Leader {
  epoch: number;
  /** Time until which the leader may keep runs alive; it stores nothing after it was overtaken. */
  freshUntil: number;
  scheduler: Scheduler;
  /** Time at which the last append is stored. */
  storedAt: number;
}

interface Delayed {
  at: number;
  run: () => void;
}

/** Leaders, a store and workers on a virtual clock, with faults drawn from a seed. */
export class VirtualWorld {
  readonly #cutUntil = new Map<string, number>();
  #delayed: Delayed[] = [];
  readonly #done = new Set<string>();
  readonly #doneRuns = new Map<string, number[]>();
  readonly #ended = new Map<string, 'completed' | 'failed'>();
  #epoch = 0;
  readonly #jobs: Job[] = [];
  #leaders: Leader[] = [];
  #now = 1000;
  readonly #noted = new Set<string>();
  readonly #records = new Map<string, string>();
  readonly #repeated = new Set<string>();
  readonly #running = new Map<string, string>();
  #state: number;
  /** What went wrong. */
  readonly violations: string[] = [];
  readonly #workers: VirtualWorker[] = [];

  constructor(
    seed: number,
    private readonly faults: Faults,
  ) {
    this.#state = seed;
    const observer = {
      onEnd: (id: string, task: string, run: number, end: string): void => {
        this.#onEnd(id, task, run, end);
      },
      onNoted: (task: string, run: number): void => {
        this.#onNoted(task, run);
      },
      onStart: (id: string, task: string, run: number): void => {
        this.#onStart(id, task, run);
      },
    };
    for (let index = 0; index < WORKERS; index += 1) {
      this.#workers.push(new VirtualWorker(`w${index}`, ROOM, observer, this.#now));
    }
    for (let index = 0; index < 5; index += 1) {
      this.#jobs.push(job(`j${index}`, [step({ count: 3 }), step({ after: [0], count: 2 })]));
    }
    this.#takeOver();
  }

  /** Ends of jobs that were stored. */
  get ended(): ReadonlyMap<string, string> {
    return this.#ended;
  }

  /** Lets time pass, in ms; without faults when `calm`. */
  run(durationMs: number, calm: boolean): void {
    const until = this.#now + durationMs;
    while (this.#now < until) {
      this.#now += STEP_MS;
      this.#deliver();
      for (const worker of this.#workers) {
        worker.advance(this.#now);
      }
      for (const leader of [...this.#leaders]) {
        this.#lead(leader, calm);
      }
      if (!calm) {
        this.#disturb();
      }
    }
  }

  #disturb(): void {
    const victim = this.#workers[Math.floor(this.#random() * WORKERS)];
    if (victim !== undefined && this.#random() < this.faults.restart) {
      victim.restart(this.#now);
    }
    if (victim !== undefined && this.#random() < this.faults.cut) {
      this.#cutUntil.set(victim.id, this.#now + CUT_MS * this.#random());
    }
    if (this.#random() < this.faults.leader) {
      this.#takeOver();
    }
  }

  #takeOver(): void {
    this.#epoch += 1;
    for (const leader of this.#leaders) {
      leader.freshUntil = Math.min(leader.freshUntil, this.#now + FRESH_MS);
    }
    const settings = {
      earlierLeasesEndAt: this.#now + FRESH_MS + longestLeaseMs(LEASE_MS),
      refusedPauseMs: 200,
      roomPauseMs: 50,
      setAsideAfter: 3,
      setAsideMs: 300,
    };
    const scheduler = new Scheduler(settings, () => undefined);
    scheduler.onConfig({
      ...config(),
      queues: config().queues.map((queue) => ({ ...queue, maxAttempts: 50 })),
    });
    for (const worker of this.#workers) {
      scheduler.onWorker(worker.info, this.#now);
    }
    const records = this.#storedTasks();
    for (const item of this.#jobs.filter((known) => !this.#ended.has(known.id))) {
      const own = records.filter((record) => record.task.startsWith(`${item.id}.`));
      scheduler.onJob(item, own, this.#now, 0);
    }
    this.#leaders.push({ epoch: this.#epoch, freshUntil: Infinity, scheduler, storedAt: 0 });
  }

  #storedTasks(): TaskRecord[] {
    return [...this.#records].flatMap(([key, value]) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
  }

  #lead(leader: Leader, calm: boolean): void {
    if (this.#now > leader.freshUntil) {
      this.#leaders = this.#leaders.filter((other) => other !== leader);
      return;
    }
    const { scheduler } = leader;
    for (const worker of this.#workers) {
      scheduler.onWorker(worker.info, this.#now);
    }
    if (this.#now % REPORT_PERIOD_MS === 0) {
      for (const known of [...scheduler.workers.values()]) {
        this.#report(leader, known);
      }
    }
    scheduler.tick(this.#now, 0);
    scheduler.reconsider();
    const plan = scheduler.plan(this.#now, 0);
    for (const stop of plan.stops) {
      this.#send(stop.worker, calm, (worker) => {
        const stopped = worker.stop(stop.task, stop.run, leader.epoch);
        return () => {
          if (stopped) {
            scheduler.onStopAnswer(stop, this.#now);
          }
        };
      });
    }
    if (leader.epoch === this.#epoch) {
      this.#store(leader, plan, calm);
    }
  }

  // A record is stored only while no later leader has begun, as with a conditional append.
  #store(leader: Leader, plan: Plan, calm: boolean): void {
    // Appends of a term are stored in their order.
    leader.storedAt = Math.max(leader.storedAt, this.#now + this.#random() * 60);
    this.#after(leader.storedAt - this.#now, () => {
      if (leader.epoch !== this.#epoch) {
        return;
      }
      plan.records.forEach((record) => {
        this.#keep(record);
      });
      for (const { bornAt, number, worker } of plan.ends) {
        if (worker.info.bornAt === bornAt) {
          worker.endsStored = Math.max(worker.endsStored, number);
        }
      }
      for (const { id, state } of plan.states.filter((item) => item.state !== 'running')) {
        this.#ended.set(id, state === 'completed' ? 'completed' : 'failed');
        leader.scheduler.onEndStored(id);
      }
      for (const order of plan.starts) {
        this.#start(leader, order, calm);
      }
    });
  }

  #keep(record: KeyedRecord): void {
    if (record.value === undefined) {
      this.#records.delete(record.key);
    } else {
      this.#records.set(record.key, record.value);
    }
  }

  #start(leader: Leader, order: StartOrder, calm: boolean): void {
    const { scheduler } = leader;
    if (!scheduler.isCurrent(order)) {
      return;
    }
    const { run, task } = order;
    const deadline = order.worker.extendLease(this.#now, LEASE_MS);
    if (deadline === undefined) {
      scheduler.onStartAnswer(order, START_ANSWER.refused, this.#now);
      return;
    }
    const length = 100 + Math.floor(this.#random() * 900);
    const sent = this.#send(order.worker, calm, (worker) => {
      const answer = worker.start(task.name, run, leader.epoch, deadline, this.#now, length);
      return () => {
        scheduler.onStartAnswer(order, answer, this.#now);
      };
    });
    if (!sent) {
      this.#after(200, () => {
        scheduler.onStartAnswer(order, START_ANSWER.silent, this.#now);
      });
    }
  }

  // Gives whether an answer will come.
  #send(target: Worker, calm: boolean, carryOut: (worker: VirtualWorker) => () => void): boolean {
    const worker = this.#workers.find((item) => item.id === target.info.id);
    if (worker === undefined || this.#isCut(worker)) {
      return false;
    }
    const draw = calm ? 1 : this.#random();
    if (draw < this.faults.late) {
      this.#after(LATE_MS * this.#random(), () => {
        carryOut(worker);
      });
      return false;
    }
    const isLost = draw < this.faults.late + this.faults.lost;
    this.#after(5, () => {
      const answer = carryOut(worker);
      if (!isLost) {
        this.#after(5, answer);
      }
    });
    return !isLost;
  }

  #report(leader: Leader, known: Worker): void {
    const worker = this.#workers.find((item) => item.id === known.info.id);
    if (worker === undefined || this.#isCut(worker)) {
      leader.scheduler.onSilence(known);
      return;
    }
    const askedAt = this.#now;
    const deadline = known.runs.size > 0 && !known.silent ? known.extendLease(askedAt, LEASE_MS) : undefined;
    const endsStored = known.info.bornAt === worker.info.bornAt ? known.endsStored : 0;
    const report = worker.report(leader.epoch, endsStored, deadline, this.#now);
    if (report === undefined) {
      leader.freshUntil = 0;
    } else {
      leader.scheduler.onReport(known, report, askedAt, this.#now);
    }
  }

  #isCut(worker: VirtualWorker): boolean {
    return (this.#cutUntil.get(worker.id) ?? 0) > this.#now;
  }

  #onStart(id: string, task: string, run: number): void {
    const other = this.#running.get(task);
    if (other !== undefined) {
      this.violations.push(`${task} run ${run} starts on ${id} while it runs on ${other}`);
    }
    if (this.#noted.has(task)) {
      this.violations.push(`${task} run ${run} starts after its end was taken note of`);
    }
    for (const doneRun of this.#doneRuns.get(task) ?? []) {
      this.#repeated.add(`${task} ${doneRun}`);
    }
    const [jobId = '', , stepNumber] = task.split('.');
    const before = [0, 1, 2].map((index) => `${jobId}.0.0.${index}`);
    if (stepNumber === '1' && !before.every((name) => this.#done.has(name))) {
      this.violations.push(`${task} starts before its step's turn`);
    }
    this.#running.set(task, id);
  }

  // The end counts from when the worker was told that it is stored, also for starts before.
  #onNoted(task: string, run: number): void {
    this.#noted.add(task);
    if (this.#repeated.has(`${task} ${run}`)) {
      this.violations.push(
        `${task} was started after run ${run} was done, whose end was taken note of later`,
      );
    }
  }

  #onEnd(id: string, task: string, run: number, end: string): void {
    if (this.#running.get(task) === id) {
      this.#running.delete(task);
    }
    if (end === 'done') {
      this.#done.add(task);
      this.#doneRuns.set(task, [...(this.#doneRuns.get(task) ?? []), run]);
    } else if (end !== 'failed' && end !== 'stopped' && end !== 'lapsed') {
      this.violations.push(`${task} run ${run} ended as ${end}`);
    }
  }

  #after(delayMs: number, run: () => void): void {
    this.#delayed.push({ at: this.#now + delayMs, run });
  }

  #deliver(): void {
    const due = this.#delayed.filter((item) => item.at <= this.#now);
    this.#delayed = this.#delayed.filter((item) => item.at > this.#now);
    for (const item of due.sort((a, b) => a.at - b.at)) {
      item.run();
    }
  }

  // Linear congruential generator: the same seed gives the same world everywhere.
  #random(): number {
    this.#state = (Math.imul(this.#state, 1_664_525) + 1_013_904_223) >>> 0;
    return this.#state / 2 ** 32;
  }
}
