import type {
  FleetConfig,
  Job,
  KeyedRecord,
  Plan,
  StartOrder,
  TaskRecord,
  Worker,
  WorkerReport,
} from '../../../src/jobs';
import type { Faults } from './injected-faults';
import { decodeTaskRecord, HOLD, longestLeaseMs, Scheduler, START_ANSWER } from '../../../src/jobs';
import { IdleJobCheck } from './idle-job-check';
import { InjectedFaults, MAX_ORDER_DELAY_MS, MAX_REPORT_DELAY_MS } from './injected-faults';
import { config, job, step } from './jobs';
import { SimulatedRegistry, SimulatedRegistryReader } from './simulated-registry';
import { MAX_LEASE_MS, SimulatedWorker } from './simulated-worker';
import { WorkspaceCheck } from './workspace-check';
import { workspace } from './workspaces';

const TICK_MS = 20;
const LEASE_MS = 1000;
const MAX_STALENESS_MS = 800;
const REPORT_PERIOD_MS = 100;

/** Time after which a report request without an answer is given up, in ms. */
const REPORT_TIMEOUT_MS = 200;

const WORKER_COUNT = 4;
const RUNS_PER_WORKER = 3;

/** Probability that the maxima of the workspaces change in a tick. */
const MAXIMA_CHANGE = 0.02;

/** Longest time until a leader reads a change of the configuration, in ms. */
const MAX_CONFIG_DELAY_MS = 300;

/** Maxima of a workspace that are drawn, in thousandths of a core; 0 means no limit. */
const DRAWN_MAXIMA = [0, 500, 1500, 2000, 3500, 6000] as const;

/** Maxima of a workspace while there are no faults, in thousandths of a core. */
const CALM_MAXIMUM = 2500;

/** Workspaces of the jobs; the last job has none. */
const JOB_WORKSPACES = ['a', 'a', 'a', 'b', undefined] as const;

interface Leader {
  /** Time until which the leader is active, in ms; it stores nothing once a later leader has started. */
  activeUntil: number;
  cfg: FleetConfig;
  epoch: number;
  registry: SimulatedRegistryReader;
  scheduler: Scheduler;
  /** Time at which the last append is stored, in ms. */
  storedAt: number;
}

interface DelayedCall {
  /** Virtual time of the call, in ms. */
  at: number;
  run: () => void;
}

/** Simulates leaders, a store and workers on a virtual clock, with pseudorandom faults from a seed. */
export class SimulatedCluster {
  readonly #injected: InjectedFaults;
  readonly #pendingReports = new Set<Worker>();
  #delayedCalls: DelayedCall[] = [];
  readonly #doneTasks = new Set<string>();
  readonly #doneRuns = new Map<string, number[]>();
  readonly #ended = new Map<string, 'completed' | 'failed'>();
  readonly #failedRuns = new Map<string, number>();
  #epoch = 0;
  readonly #idleJobs = new IdleJobCheck();
  readonly #jobs: Job[] = [];
  #leaders: Leader[] = [];
  #now = 1000;
  readonly #acknowledgedTasks = new Set<string>();
  #cfg: FleetConfig;
  readonly #records = new Map<string, string>();
  readonly #registry = new SimulatedRegistry();
  readonly #rerunAfterDone = new Set<string>();
  readonly #running = new Map<string, string>();
  #randomState: number;
  /** Descriptions of the violated guarantees; empty if all held. */
  readonly violations: string[] = [];
  readonly #workers: SimulatedWorker[] = [];
  /** Checks what the workers run for each workspace against the maxima. */
  readonly workspaceCheck = new WorkspaceCheck();

  constructor(
    seed: number,
    private readonly faults: Faults,
    private readonly maxAttempts = 50,
    hasGangs = false,
    private readonly hasWorkspaces = false,
  ) {
    this.#randomState = seed;
    this.#cfg = {
      ...config(),
      queues: config().queues.map((queue) => ({ ...queue, maxAttempts: this.maxAttempts })),
    };
    if (hasWorkspaces) {
      this.#setMaxima({ a: CALM_MAXIMUM, b: CALM_MAXIMUM });
    }
    this.#injected = new InjectedFaults(faults, () => this.#random());
    const observer = {
      onEnd: (id: string, task: string, run: number, end: string): void => {
        this.#onEnd(id, task, run, end);
      },
      onEndAcknowledged: (task: string, run: number): void => {
        this.#onEndAcknowledged(task, run);
      },
      onStart: (id: string, task: string, run: number): void => {
        this.#onStart(id, task, run);
      },
    };
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      this.#workers.push(new SimulatedWorker(`w${index}`, RUNS_PER_WORKER, observer, this.#now));
    }
    for (let index = 0; index < 5; index += 1) {
      const steps = [step({ count: 3 }), step({ after: [0], count: 2, gang: hasGangs })];
      const owner = hasWorkspaces ? JOB_WORKSPACES[index] : undefined;
      this.#jobs.push({ ...job(`j${index}`, steps), workspace: owner });
    }
    this.#registry.update(this.#workers, this.#injected, this.#now);
    this.#startLeader();
  }

  /** Stored end states of the jobs, by job id. */
  get ended(): ReadonlyMap<string, string> {
    return this.#ended;
  }

  /** Advances the virtual clock by a duration in ms; injects no faults if `calm` is true. */
  run(durationMs: number, calm: boolean): void {
    if (calm && this.hasWorkspaces) {
      this.#changeConfig({ a: CALM_MAXIMUM, b: CALM_MAXIMUM });
    }
    const until = this.#now + durationMs;
    while (this.#now < until) {
      this.#now += TICK_MS;
      this.#runDueCalls();
      for (const worker of this.#workers) {
        worker.advance(this.#now);
      }
      this.#registry.update(this.#workers, this.#injected, this.#now);
      for (const leader of [...this.#leaders]) {
        this.#stepLeader(leader, calm);
      }
      if (!calm) {
        this.#injectFaults();
      }
      this.#checkIdleJobs();
    }
  }

  // With all workers in reach and half of the capacity unused, a job may have nothing running only for a while.
  #checkIdleJobs(): void {
    const isDisturbed =
      this.hasWorkspaces ||
      this.#injected.isStoreSlow(this.#now) ||
      this.#workers.some(
        ({ id }) => !this.#injected.isReachable(id, this.#now) || !this.#injected.isRegistered(id, this.#now),
      );
    const isFull = this.#running.size >= 0.5 * WORKER_COUNT * RUNS_PER_WORKER;
    if (isDisturbed) {
      this.#idleJobs.onDisturbance(this.#now);
    }
    const open = this.#jobs.filter((item) => !this.#ended.has(item.id)).map((item) => item.id);
    const idle = open.filter((id) => ![...this.#running.keys()].some((task) => task.startsWith(`${id}.`)));
    this.violations.push(...this.#idleJobs.check(isFull ? [] : idle, this.#now));
  }

  // A task that waits long with room for it has a reason, and on each worker of its pool.
  #checkExplanations(scheduler: Scheduler): void {
    for (const { byReason, task, waitedMs, workers } of scheduler.waitingWithRoom(this.#now)) {
      const isUnexplained = workers.some(({ reason }) => reason === HOLD.none || reason === HOLD.planDue);
      if (workers.length === 0 || isUnexplained) {
        this.violations.push(`${task} has waited ${waitedMs} ms for no reason: ${JSON.stringify(byReason)}`);
      }
    }
  }

  #setMaxima(maxima: Readonly<Record<string, number>>): void {
    const workspaces = Object.entries(maxima).map(([name, cpuMilli]) => workspace(name, { cpuMilli }));
    this.#cfg = { ...this.#cfg, version: this.#cfg.version + 1, workspaces };
  }

  // Each leader reads the change at a time of its own.
  #changeConfig(maxima: Readonly<Record<string, number>>): void {
    this.#setMaxima(maxima);
    const cfg = this.#cfg;
    for (const leader of this.#leaders) {
      this.#schedule(MAX_CONFIG_DELAY_MS * this.#random(), () => {
        if (cfg.version > leader.cfg.version) {
          leader.cfg = cfg;
          leader.scheduler.onConfig(cfg);
        }
      });
    }
  }

  #drawMaximum(): number {
    return DRAWN_MAXIMA[Math.floor(this.#random() * DRAWN_MAXIMA.length)] ?? 0;
  }

  // Now and then a workspace is missing, as if it had been renamed.
  #changeMaxima(): void {
    if (!this.hasWorkspaces || this.#random() >= MAXIMA_CHANGE) {
      return;
    }
    const maxima = { a: this.#drawMaximum(), b: this.#drawMaximum() };
    this.#changeConfig(this.#random() < 0.1 ? { b: maxima.b } : maxima);
  }

  #injectFaults(): void {
    this.#changeMaxima();
    const { changesLeader, crashesLeader, restartsWorker } = this.#injected.inject(this.#workers, this.#now);
    if (restartsWorker || changesLeader || crashesLeader) {
      this.#idleJobs.onDisturbance(this.#now);
    }
    if (crashesLeader) {
      this.#leaders = [];
    }
    if (changesLeader || crashesLeader) {
      this.#startLeader();
    }
  }

  #startLeader(): void {
    this.#epoch += 1;
    for (const leader of this.#leaders) {
      leader.activeUntil = Math.min(leader.activeUntil, this.#now + MAX_STALENESS_MS);
    }
    const settings = {
      earlierLeasesEndAt: this.#now + MAX_STALENESS_MS + longestLeaseMs(LEASE_MS),
      earlierLongestLeasesEndAt: this.#now + MAX_STALENESS_MS + longestLeaseMs(MAX_LEASE_MS),
      maxLeaseMs: MAX_LEASE_MS,
      maxRecordBytes: 262_144,
      refusedPauseMs: 1000,
      roomPauseMs: 50,
      setAsideAfter: 3,
      setAsideMs: 4000,
    };
    const scheduler = new Scheduler(settings, () => undefined);
    const cfg = this.#cfg;
    scheduler.onConfig(cfg);
    const registry = new SimulatedRegistryReader(this.#registry, scheduler);
    registry.read(this.#now);
    const records = this.#readTaskRecords();
    for (const item of this.#jobs.filter((known) => !this.#ended.has(known.id))) {
      const own = records.filter((record) => record.task.startsWith(`${item.id}.`));
      scheduler.onJob(item, own, this.#now, 0);
    }
    this.#leaders.push({ activeUntil: Infinity, cfg, epoch: this.#epoch, registry, scheduler, storedAt: 0 });
  }

  #readTaskRecords(): TaskRecord[] {
    return [...this.#records].flatMap(([key, value]) => {
      const record = decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
  }

  #stepLeader(leader: Leader, calm: boolean): void {
    if (this.#now > leader.activeUntil) {
      this.#leaders = this.#leaders.filter((other) => other !== leader);
      return;
    }
    const { scheduler } = leader;
    leader.registry.read(this.#now);
    if (this.#now % REPORT_PERIOD_MS === 0) {
      for (const known of [...scheduler.workers.values()]) {
        this.#report(leader, known, calm);
      }
    }
    scheduler.tick(this.#now, 0);
    scheduler.requestAssignment();
    const plan = scheduler.plan(this.#now, 0, !this.#injected.isStoreSlow(this.#now));
    this.#checkExplanations(scheduler);
    for (const stop of plan.stops) {
      this.#send(stop.worker, calm, (worker) => {
        const stopped = worker.stop(stop.task, stop.run, leader.epoch);
        return () => {
          if (stopped) {
            scheduler.onStopAcknowledged(stop, this.#now);
          }
        };
      });
    }
    if (leader.epoch === this.#epoch) {
      this.#store(leader, plan, calm);
    }
  }

  // Like a conditional append: stores nothing once a later leader has started.
  #store(leader: Leader, plan: Plan, calm: boolean): void {
    // The appends of a term are stored in order.
    leader.storedAt = Math.max(leader.storedAt, this.#now + this.#random() * 60);
    const { cfg } = leader;
    this.#schedule(leader.storedAt - this.#now, () => {
      if (leader.epoch !== this.#epoch) {
        return;
      }
      plan.records.forEach((record) => {
        this.#applyRecord(record);
      });
      for (const { run, task } of plan.starts) {
        this.workspaceCheck.onAssigned(task, run, cfg);
      }
      for (const { bornAt, number, worker } of plan.ends) {
        if (worker.info.bornAt === bornAt) {
          worker.endsStored = Math.max(worker.endsStored, number);
        }
      }
      for (const { id, state } of plan.states.filter((item) => item.state !== 'running')) {
        this.#onJobEnd(id, state === 'completed' ? 'completed' : 'failed');
        leader.scheduler.onEndStored(id);
      }
      for (const order of plan.starts) {
        this.#start(leader, order, calm);
      }
    });
  }

  #onJobEnd(id: string, state: 'completed' | 'failed'): void {
    const failures = [...this.#failedRuns]
      .filter(([task]) => task.startsWith(`${id}.`))
      .map(([, count]) => count);
    if (state === 'failed' && Math.max(0, ...failures) < this.maxAttempts) {
      this.violations.push(`${id} is given up after ${failures.join(', ')} failed runs of its tasks`);
    }
    this.#ended.set(id, state);
  }

  #applyRecord(record: KeyedRecord): void {
    if (record.value === undefined) {
      this.#records.delete(record.key);
    } else {
      this.#records.set(record.key, record.value);
    }
  }

  #start(leader: Leader, order: StartOrder, calm: boolean): void {
    const { scheduler } = leader;
    if (!scheduler.isStartPending(order)) {
      return;
    }
    const { run, task } = order;
    const { acknowledgement } = order.worker;
    if (acknowledgement.isInFlight) {
      this.#schedule(TICK_MS, () => {
        this.#start(leader, order, calm);
      });
      return;
    }
    const deadline = acknowledgement.isPending ? undefined : order.worker.extendLease(this.#now, LEASE_MS);
    if (deadline === undefined) {
      scheduler.onStartAnswer(order, START_ANSWER.refused, this.#now);
      return;
    }
    scheduler.onStartSent(order);
    const durationMs = 100 + Math.floor(this.#random() * 900);
    const expected = order.worker.proofAt(this.#now);
    const willAnswer = this.#send(order.worker, calm, (worker) => {
      const fails = this.#injected.failsRun(worker.id, this.#now);
      const answer = worker.start(task.name, run, leader.epoch, deadline, this.#now, durationMs, fails);
      const clock = expected && { expected, readingMs: worker.clockMs(this.#now) };
      return () => {
        scheduler.onStartAnswer(order, answer, this.#now, clock);
      };
    });
    if (!willAnswer) {
      this.#schedule(200, () => {
        scheduler.onStartAnswer(order, START_ANSWER.noAnswer, this.#now);
      });
    }
  }

  // Returns whether the order will get an answer.
  #send(target: Worker, calm: boolean, execute: (worker: SimulatedWorker) => () => void): boolean {
    const worker = this.#workers.find((item) => item.id === target.info.id);
    if (worker === undefined || !this.#injected.isReachable(worker.id, this.#now)) {
      return false;
    }
    const sample = calm ? 1 : this.#random();
    if (sample < this.faults.delayedOrder) {
      this.#schedule(MAX_ORDER_DELAY_MS * this.#random(), () => {
        execute(worker);
      });
      return false;
    }
    const isLost = sample < this.faults.delayedOrder + this.faults.lostAnswer;
    this.#schedule(5, () => {
      const answer = execute(worker);
      if (!isLost) {
        this.#schedule(5, answer);
      }
    });
    return !isLost;
  }

  #report(leader: Leader, known: Worker, calm: boolean): void {
    if (this.#pendingReports.has(known)) {
      return;
    }
    const worker = this.#workers.find((item) => item.id === known.info.id);
    if (worker === undefined || !this.#injected.isReachable(worker.id, this.#now)) {
      leader.scheduler.onWorkerUnresponsive(known, this.#now);
      return;
    }
    const askedAt = this.#now;
    const sent = leader.scheduler.beginAcknowledgement(known, askedAt);
    const deadline =
      known.runs.size > 0 && !known.isUnresponsive ? known.extendLease(askedAt, LEASE_MS) : undefined;
    const execute = (): WorkerReport | undefined =>
      worker.report(leader.epoch, sent?.number ?? 0, deadline, this.#now);
    const fate = calm ? 'answered' : this.#injected.fateOfReport();
    if (fate === 'delayed') {
      this.#schedule(MAX_ORDER_DELAY_MS * this.#random(), execute);
      this.#missReport(leader, known);
      return;
    }
    const report = execute();
    if (report === undefined) {
      leader.activeUntil = 0;
      return;
    }
    const answer = (): void => {
      leader.scheduler.onAcknowledgementAnswered(known, report.bornAt);
      leader.scheduler.onReport(known, report, askedAt, this.#now);
    };
    if (fate === 'answered') {
      answer();
    } else if (fate === 'lost') {
      this.#missReport(leader, known);
    } else {
      this.#settleLater(known, MAX_REPORT_DELAY_MS * this.#random(), answer);
    }
  }

  // A report request without an answer is given up after a while.
  #missReport({ scheduler }: Leader, known: Worker): void {
    this.#settleLater(known, REPORT_TIMEOUT_MS, () => {
      scheduler.onAcknowledgementUnanswered(known, 'silent', this.#now);
      scheduler.onWorkerUnresponsive(known, this.#now);
    });
  }

  // Only one report of a worker is requested at a time.
  #settleLater(known: Worker, delayMs: number, settle: () => void): void {
    this.#pendingReports.add(known);
    this.#schedule(delayMs, () => {
      this.#pendingReports.delete(known);
      settle();
    });
  }

  #onStart(id: string, task: string, run: number): void {
    const other = this.#running.get(task);
    if (other !== undefined) {
      this.violations.push(`${task} run ${run} starts on ${id} while it runs on ${other}`);
    }
    if (this.#acknowledgedTasks.has(task)) {
      this.violations.push(`${task} run ${run} starts after its end was acknowledged`);
    }
    for (const doneRun of this.#doneRuns.get(task) ?? []) {
      this.#rerunAfterDone.add(`${task} ${doneRun}`);
    }
    const [jobId = '', , stepNumber] = task.split('.');
    const dependencies = [0, 1, 2].map((index) => `${jobId}.0.0.${index}`);
    if (stepNumber === '1' && !dependencies.every((name) => this.#doneTasks.has(name))) {
      this.violations.push(`${task} starts before the previous step is done`);
    }
    this.#running.set(task, id);
    this.violations.push(...this.workspaceCheck.onStart(id, task, run));
  }

  // Once a worker learns that the end of a run is stored, the task must not have been started after that run.
  #onEndAcknowledged(task: string, run: number): void {
    this.#acknowledgedTasks.add(task);
    if (this.#rerunAfterDone.has(`${task} ${run}`)) {
      this.violations.push(`${task} was started after run ${run} was done, whose end was acknowledged later`);
    }
  }

  #onEnd(id: string, task: string, run: number, end: string): void {
    if (this.#running.get(task) === id) {
      this.#running.delete(task);
    }
    this.workspaceCheck.onEnd(id, task, run);
    if (end === 'done') {
      this.#doneTasks.add(task);
      this.#doneRuns.set(task, [...(this.#doneRuns.get(task) ?? []), run]);
    } else if (end === 'failed') {
      this.#failedRuns.set(task, (this.#failedRuns.get(task) ?? 0) + 1);
    } else if (end !== 'stopped' && end !== 'lapsed') {
      this.violations.push(`${task} run ${run} ended as ${end}`);
    }
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#delayedCalls.push({ at: this.#now + delayMs, run });
  }

  #runDueCalls(): void {
    const due = this.#delayedCalls.filter((item) => item.at <= this.#now);
    this.#delayedCalls = this.#delayedCalls.filter((item) => item.at > this.#now);
    for (const item of due.sort((a, b) => a.at - b.at)) {
      item.run();
    }
  }

  // Linear congruential generator, so that a seed gives the same simulation on every platform.
  #random(): number {
    this.#randomState = (Math.imul(this.#randomState, 1_664_525) + 1_013_904_223) >>> 0;
    return this.#randomState / 2 ** 32;
  }
}
