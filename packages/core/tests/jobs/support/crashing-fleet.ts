import type { Job, StartOrder, TaskRecord, Worker } from '../../../src/jobs';
import { decodeTaskRecord, RUN_END, Scheduler, START_ANSWER } from '../../../src/jobs';
import { config, SCHEDULER_SETTINGS, worker } from './jobs';

/** Interval of the virtual clock, in ms. */
const TICK_MS = 10;

const LEASE_MS = 4200;
const REPORT_INTERVAL_MS = 100;

/** Time from a start to the crash that a crashing task causes, in ms. */
const CRASH_DELAY_MS = 10;

/** Time after which the VM of a crashed worker has a new worker, in ms. */
const RESTART_MS = 3000;

const RUN_MS = 300;

interface LiveRun {
  endsAt: number;
  run: number;
}

interface LiveWorker {
  ends: { number: number; run: number; task: string }[];
  id: string;
  isAlive: boolean;
  runs: Map<string, LiveRun>;
  zone: string;
}

/** Simulates a leader and workers that some tasks crash shortly after their start. */
export class CrashingFleet {
  readonly ended = new Map<string, string>();
  readonly #events: { at: number; run: () => void }[] = [];
  #generation = 0;
  now = 1000;
  readonly #records = new Map<string, string>();
  #scheduler: Scheduler;
  /** Numbers of starts, by task. */
  readonly starts = new Map<string, number>();
  #workers: LiveWorker[] = [];

  /**
   * @param crashing Names of the tasks that crash their worker.
   * @param zones Zone of each worker.
   */
  constructor(
    private readonly jobs: readonly Job[],
    private readonly crashing: ReadonlySet<string>,
    zones: readonly string[],
  ) {
    for (const zone of zones) {
      this.#addWorker(zone);
    }
    this.#scheduler = this.#startLeader();
  }

  /** Replaces the leader by another one that knows only what is stored. */
  changeLeader(): void {
    this.#scheduler = this.#startLeader();
  }

  /** Advances the virtual clock by a duration in ms. */
  run(durationMs: number): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += TICK_MS;
      this.#runDueEvents();
      this.#endRuns();
      if (this.now % REPORT_INTERVAL_MS === 0) {
        this.#report();
      }
      this.#scheduler.tick(this.now, 0);
      this.#scheduler.requestAssignment();
      this.#plan();
    }
  }

  #startLeader(): Scheduler {
    const scheduler = new Scheduler(
      { ...SCHEDULER_SETTINGS, earlierLeasesEndAt: this.now + LEASE_MS },
      () => undefined,
    );
    scheduler.onConfig(config());
    for (const item of this.#workers.filter(({ isAlive }) => isAlive)) {
      scheduler.onWorkerRegistered(worker(item.id, { zone: item.zone }), this.now);
    }
    const records: TaskRecord[] = [...this.#records].flatMap(([key, value]) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
    for (const item of this.jobs.filter(({ id }) => !this.ended.has(id))) {
      const own = records.filter((record) => record.task.startsWith(`${item.id}.`));
      scheduler.onJob(item, own, this.now, 0);
    }
    return scheduler;
  }

  #plan(): void {
    const scheduler = this.#scheduler;
    const plan = scheduler.plan(this.now, 0);
    for (const { key, value } of plan.records) {
      if (value === undefined) {
        this.#records.delete(key);
      } else {
        this.#records.set(key, value);
      }
    }
    for (const { number, worker: known } of plan.ends) {
      known.endsStored = Math.max(known.endsStored, number);
    }
    for (const stop of plan.stops) {
      this.#find(stop.worker)?.runs.delete(stop.task);
      scheduler.onStopAcknowledged(stop, this.now);
    }
    for (const { id, state } of plan.states.filter((item) => item.state !== 'running')) {
      this.ended.set(id, state);
      scheduler.onEndStored(id);
    }
    for (const order of plan.starts) {
      this.#start(scheduler, order);
    }
  }

  #start(scheduler: Scheduler, order: StartOrder): void {
    const { run, task } = order;
    const target = this.#find(order.worker);
    if (target === undefined) {
      scheduler.onStartAnswer(order, START_ANSWER.refused, this.now);
      return;
    }
    order.worker.extendLease(this.now, LEASE_MS);
    this.starts.set(task.name, (this.starts.get(task.name) ?? 0) + 1);
    const durationMs = task.step.spec.longRunning ? Infinity : RUN_MS;
    target.runs.set(task.name, { endsAt: this.now + durationMs, run });
    scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    if (this.crashing.has(task.name)) {
      this.#events.push({
        at: this.now + CRASH_DELAY_MS,
        run: () => {
          this.#crash(target);
        },
      });
    }
  }

  #crash(lost: LiveWorker): void {
    if (!lost.isAlive) {
      return;
    }
    lost.isAlive = false;
    const known = this.#scheduler.workers.get(lost.id);
    if (known !== undefined) {
      this.#scheduler.onWorkerDisconnected(known, this.now);
    }
    this.#events.push({
      at: this.now + RESTART_MS,
      run: () => {
        const { id, zone } = this.#addWorker(lost.zone);
        this.#scheduler.onWorkerRegistered(worker(id, { zone }), this.now);
        const replaced = this.#scheduler.workers.get(lost.id);
        if (replaced !== undefined) {
          this.#scheduler.onWorkerReplaced(replaced, this.now);
        }
      },
    });
  }

  #addWorker(zone: string): LiveWorker {
    this.#generation += 1;
    const added = { ends: [], id: `w${this.#generation}`, isAlive: true, runs: new Map(), zone };
    this.#workers.push(added);
    return added;
  }

  #endRuns(): void {
    for (const item of this.#workers.filter(({ isAlive }) => isAlive)) {
      for (const [task, { run }] of [...item.runs].filter(([, { endsAt }]) => endsAt <= this.now)) {
        item.runs.delete(task);
        item.ends.push({ number: item.ends.length + 1, run, task });
      }
    }
  }

  #report(): void {
    for (const known of [...this.#scheduler.workers.values()]) {
      const item = this.#find(known);
      if (item === undefined) {
        this.#scheduler.onWorkerDisconnected(known, this.now);
        continue;
      }
      if (known.runs.size > 0) {
        known.extendLease(this.now, LEASE_MS);
      }
      const ended = item.ends
        .filter(({ number }) => number > known.endsStored)
        .map((row) => ({ ...row, checkpoint: '', end: RUN_END.done }));
      const running = [...item.runs].map(([task, { run }]) => ({
        checkpoint: '',
        load: 0,
        percent: this.now % 100,
        run,
        task,
      }));
      const report = { bornAt: 1, clockMs: this.now, ended, running };
      this.#scheduler.onReport(known, report, this.now - 1, this.now);
    }
  }

  #find(known: Worker): LiveWorker | undefined {
    return this.#workers.find((item) => item.id === known.info.id && item.isAlive);
  }

  #runDueEvents(): void {
    const due = this.#events.filter(({ at }) => at <= this.now);
    for (const event of due) {
      this.#events.splice(this.#events.indexOf(event), 1);
      event.run();
    }
  }
}
