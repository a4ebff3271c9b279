import type { Job, StartOrder, StopOrder, TaskRecord, Worker, WorkerInfo } from '../../../src/jobs';
import { decodeTaskRecord, RUN_END, Scheduler, START_ANSWER } from '../../../src/jobs';
import { answerClock, config, SCHEDULER_SETTINGS, worker } from './jobs';

/** Interval of the virtual clock, in ms. */
const TICK_MS = 10;

const LEASE_MS = 4200;
const REPORT_INTERVAL_MS = 100;

/** Interval at which workers write their entries, in ms; an entry is removed after three silent ones. */
const ENTRY_INTERVAL_MS = 1500;

/** Time from a start to the crash that a crashing task causes, in ms. */
const CRASH_DELAY_MS = 10;

/** Time after which the VM of a crashed worker has a new worker, in ms. */
const RESTART_MS = 3000;

const RUN_MS = 300;

interface LiveRun {
  endsAt: number;
  run: number;
}

/** Cut of a worker from the nodes, which resets connections; the worker runs on. */
export interface Cut {
  forMs: number;
  /** Whether only the answers are lost, so that the worker carries out what it is ordered. */
  losesAnswersOnly: boolean;
  /** Whether the worker is cut off from the registry as well, which removes its entry. */
  takesRegistry: boolean;
}

interface LiveWorker {
  address: string;
  bornAt: number;
  cut: (Cut & { since: number }) | undefined;
  ends: { number: number; run: number; task: string }[];
  /** Time of the newest entry in the registry, in ms. */
  entryAt: number;
  id: string;
  isAlive: boolean;
  isRegistered: boolean;
  leaseEndsAt: number;
  runs: Map<string, LiveRun>;
  zone: string;
}

/** Simulates a leader and workers that some tasks crash shortly after their start, and cuts of workers. */
export class CrashingFleet {
  readonly ended = new Map<string, string>();
  readonly #events: { at: number; run: () => void }[] = [];
  #generation = 0;
  now = 1000;
  readonly #records = new Map<string, string>();
  readonly #jobs: Job[];
  #scheduler: Scheduler;
  /** Starts of tasks that were running; empty if there were none. */
  readonly violations: string[] = [];
  /** Numbers of starts, by task. */
  readonly starts = new Map<string, number>();
  #workers: LiveWorker[] = [];

  /**
   * @param crashing Names of the tasks that crash their worker.
   * @param zones Zone of each worker.
   */
  constructor(
    jobs: readonly Job[],
    private readonly crashing: ReadonlySet<string>,
    zones: readonly string[],
  ) {
    this.#jobs = [...jobs];
    zones.forEach((zone, index) => {
      this.#addWorker(zone, `a${index}:1`);
    });
    this.#scheduler = this.#startLeader();
  }

  /** Replaces the leader by another one that knows only what is stored. */
  changeLeader(): void {
    this.#scheduler = this.#startLeader();
  }

  /** Adds an accepted job. */
  submit(job: Job): void {
    this.#jobs.push(job);
    this.#scheduler.onJob(job, [], this.now, 0);
  }

  /** Cuts a worker off, by its position among those that are alive. */
  cutOff(position: number, cut: Cut): void {
    const alive = this.#workers.filter(({ isAlive }) => isAlive);
    const target = alive[position % alive.length];
    if (target !== undefined) {
      target.cut ??= { ...cut, since: this.now };
    }
  }

  /** Advances the virtual clock by a duration in ms. */
  run(durationMs: number): void {
    const until = this.now + durationMs;
    while (this.now < until) {
      this.now += TICK_MS;
      this.#runDueEvents();
      this.#endRuns();
      this.#writeEntries();
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
      {
        ...SCHEDULER_SETTINGS,
        earlierLeasesEndAt: this.now + LEASE_MS,
        earlierLongestLeasesEndAt: this.now + LEASE_MS,
      },
      () => undefined,
    );
    scheduler.onConfig(config());
    for (const item of this.#workers.filter(({ isRegistered }) => isRegistered)) {
      scheduler.onWorkerRegistered(toInfo(item), this.now);
    }
    const records: TaskRecord[] = [...this.#records].flatMap(([key, value]) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
    for (const item of this.#jobs.filter(({ id }) => !this.ended.has(id))) {
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
      this.#stop(scheduler, stop);
    }
    for (const { id, state } of plan.states.filter((item) => item.state !== 'running')) {
      this.ended.set(id, state);
      scheduler.onEndStored(id);
    }
    for (const order of plan.starts) {
      this.#start(scheduler, order);
    }
  }

  #stop(scheduler: Scheduler, stop: StopOrder): void {
    const target = this.#find(stop.worker);
    if (target?.cut === undefined || target.cut.losesAnswersOnly) {
      target?.runs.delete(stop.task);
    }
    if (target !== undefined && target.cut === undefined) {
      scheduler.onStopAcknowledged(stop, this.now);
    }
  }

  #start(scheduler: Scheduler, order: StartOrder): void {
    const target = this.#find(order.worker);
    if (target === undefined || order.worker.extendLease(this.now, LEASE_MS) === undefined) {
      scheduler.onStartAnswer(order, START_ANSWER.refused, this.now);
      return;
    }
    scheduler.onStartSent(order);
    const clock = answerClock(order.worker, this.now);
    if (target.cut === undefined || target.cut.losesAnswersOnly) {
      this.#carryOut(target, order);
    }
    const answer = target.cut === undefined ? START_ANSWER.started : START_ANSWER.noAnswer;
    scheduler.onStartAnswer(order, answer, this.now, target.cut === undefined ? clock : undefined);
  }

  #carryOut(target: LiveWorker, { run, task }: StartOrder): void {
    target.leaseEndsAt = this.now + LEASE_MS;
    this.starts.set(task.name, (this.starts.get(task.name) ?? 0) + 1);
    const durationMs = task.step.spec.longRunning ? Infinity : RUN_MS;
    const isRunning = this.#workers.some(({ isAlive, runs }) => isAlive && runs.has(task.name));
    this.violations.push(...(isRunning ? [`${task.name} run ${run} starts while it runs`] : []));
    target.runs.set(task.name, { endsAt: this.now + durationMs, run });
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
        const added = this.#addWorker(lost.zone, lost.address);
        this.#scheduler.onWorkerRegistered(toInfo(added), this.now);
        const replaced = this.#scheduler.workers.get(lost.id);
        if (replaced !== undefined) {
          this.#scheduler.onWorkerReplaced(replaced, this.now);
        }
      },
    });
  }

  #addWorker(zone: string, address: string): LiveWorker {
    this.#generation += 1;
    const added: LiveWorker = {
      address,
      bornAt: this.now,
      cut: undefined,
      ends: [],
      entryAt: this.now,
      id: `w${this.#generation}`,
      isAlive: true,
      isRegistered: true,
      leaseEndsAt: 0,
      runs: new Map(),
      zone,
    };
    this.#workers.push(added);
    return added;
  }

  // A worker writes its entry while it is alive and reaches the registry; the entry is removed after three intervals.
  #writeEntries(): void {
    for (const item of this.#workers) {
      if (item.cut !== undefined && this.now - item.cut.since >= item.cut.forMs) {
        item.cut = undefined;
      }
      const writes = item.isAlive && item.cut?.takesRegistry !== true;
      const silentMs = this.now - item.entryAt;
      if (writes && silentMs >= ENTRY_INTERVAL_MS) {
        item.entryAt = this.now;
        item.isRegistered = true;
        this.#scheduler.onWorkerRegistered(toInfo(item), this.now);
      } else if (item.isRegistered && silentMs >= 3 * ENTRY_INTERVAL_MS) {
        item.isRegistered = false;
        this.#scheduler.onWorkerDeregistered(item.id);
      }
    }
  }

  #endRuns(): void {
    for (const item of this.#workers.filter(({ isAlive }) => isAlive)) {
      if (this.now > item.leaseEndsAt) {
        item.runs.clear();
      }
      for (const [task, { run }] of [...item.runs].filter(([, { endsAt }]) => endsAt <= this.now)) {
        item.runs.delete(task);
        item.ends.push({ number: item.ends.length + 1, run, task });
      }
    }
  }

  #report(): void {
    for (const known of [...this.#scheduler.workers.values()].filter(needsReport)) {
      const item = this.#find(known);
      if (item === undefined) {
        this.#scheduler.onWorkerDisconnected(known, this.now);
        continue;
      }
      const isExtended =
        known.runs.size > 0 && !known.isUnresponsive && known.extendLease(this.now, LEASE_MS) !== undefined;
      if (isExtended && (item.cut === undefined || item.cut.losesAnswersOnly)) {
        item.leaseEndsAt = this.now + LEASE_MS;
      }
      if (item.cut !== undefined) {
        this.#scheduler.onWorkerDisconnected(known, this.now);
        continue;
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
      const report = { bornAt: item.bornAt, clockMs: this.now, ended, running };
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

// Idle workers are not asked, so a leader learns that one is cut off when it orders a run there.
function needsReport({ endsRead, endsStored, isFenced, isUnresponsive, runs }: Worker): boolean {
  return !isFenced || isUnresponsive || runs.size > 0 || endsStored < endsRead;
}

function toInfo({ address, bornAt, id, zone }: LiveWorker): WorkerInfo {
  return worker(id, { address, bornAt, zone });
}
