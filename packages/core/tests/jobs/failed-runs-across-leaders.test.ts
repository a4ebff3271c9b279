import { beforeEach, describe, expect, it } from 'vitest';
import type { KeyedRecord, Plan, StartOrder } from '../../src/jobs';
import { decodeTaskRecord, RUN_END, Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, SCHEDULER_SETTINGS, step, worker } from './support/jobs';
import { SimulatedWorker } from './support/simulated-worker';

const MAX_ATTEMPTS = 4;

const TASK = 'j.0.0.0';

/** Duration of a run that a simulated worker lets fail, in ms. */
const FAILING_RUN_MS = 70;

const LEASE_MS = 2000;

/** Several leaders, one after the other, of workers that list each end until it is acknowledged to them. */
class Succession {
  #epoch = 0;
  #now = 1000;
  readonly #records = new Map<string, KeyedRecord>();
  #scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  /** State in which the leader ended the job; undefined while it goes on. */
  endedAs: string | undefined;
  readonly #workers = ['a', 'b', 'c'].map((id) => {
    const observer = { onEnd: () => undefined, onEndAcknowledged: () => undefined, onStart: () => undefined };
    return new SimulatedWorker(id, 4, observer, this.#now);
  });

  /** Replaces the leader by one that knows what is stored and has had a report from each worker. */
  changeLeader(): void {
    this.#epoch += 1;
    this.#scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
    const [queue] = config().queues;
    this.#scheduler.onConfig({
      ...config(),
      queues: queue === undefined ? [] : [{ ...queue, maxAttempts: MAX_ATTEMPTS }],
    });
    for (const { info } of this.#workers) {
      this.#scheduler.onWorkerRegistered(worker(info.id, info), this.#now);
    }
    const records = [...this.#records].flatMap(([key, { value }]) => {
      const record = value === undefined ? undefined : decodeTaskRecord(key, value)._unsafeUnwrap();
      return record === undefined ? [] : [record];
    });
    this.#scheduler.onJob(job('j', [step()]), records, this.#now, 0);
    this.readReports();
  }

  /** Requests a report of each worker, and stores what follows without assigning tasks: the store is slow. */
  readReports(): void {
    this.#now += 10;
    for (const known of this.#scheduler.workers.values()) {
      const live = this.#workers.find(({ id }) => id === known.info.id);
      const report = live?.report(this.#epoch, known.endsStored, undefined, this.#now);
      if (report !== undefined) {
        this.#scheduler.onReport(known, report, this.#now - 1, this.#now);
      }
    }
    this.#store(this.#scheduler.plan(this.#now, 0, false));
  }

  /** Stores the ends that have been read as acknowledged to the workers. */
  acknowledgeEnds(): void {
    for (const known of this.#scheduler.workers.values()) {
      known.endsStored = known.endsRead;
    }
  }

  /** Assigns what waits, and returns the numbers of the runs that start; each fails. */
  failStartedRuns(): number[] {
    this.#now += 10;
    const plan = this.#scheduler.plan(this.#now, 0);
    this.#store(plan);
    for (const order of plan.starts) {
      this.#start(order);
    }
    this.#now += FAILING_RUN_MS;
    for (const live of this.#workers) {
      live.advance(this.#now);
    }
    return plan.starts.map(({ run }) => run);
  }

  #start(order: StartOrder): void {
    const live = this.#workers.find(({ id }) => id === order.worker.info.id);
    const deadline = order.worker.extendLease(this.#now, LEASE_MS) ?? 0;
    const answer = live?.start(order.task.name, order.run, this.#epoch, deadline, this.#now, FAILING_RUN_MS);
    this.#scheduler.onStartAnswer(order, answer ?? START_ANSWER.noAnswer, this.#now);
  }

  #store(plan: Plan): void {
    for (const record of plan.records) {
      this.#records.set(record.key, record);
    }
    this.endedAs = plan.states.find(({ state }) => state !== 'running')?.state ?? this.endedAs;
  }

  /** Returns the ends of the task that the workers list. */
  get listedFailures(): number[] {
    return this.#workers.flatMap((live) => {
      const { ended } = live.report(this.#epoch, 0, undefined, this.#now) ?? { ended: [] };
      return ended.filter((row) => row.task === TASK && row.end === RUN_END.failed).map(({ run }) => run);
    });
  }
}

describe('failed runs of a task while the leader changes', () => {
  let succession: Succession;

  beforeEach(() => {
    succession = new Succession();
    succession.changeLeader();
    expect(succession.failStartedRuns()).toEqual([1]);
    succession.readReports();
  });

  it('starts the fourth run of four when the end of the first was listed to the next leader before its acknowledgement', () => {
    succession.changeLeader();
    expect(succession.listedFailures).toEqual([1]);
    for (const run of [2, 3]) {
      expect(succession.failStartedRuns()).toEqual([run]);
      succession.readReports();
      succession.acknowledgeEnds();
    }
    expect(succession.endedAs).toBeUndefined();
    expect(succession.failStartedRuns()).toEqual([4]);
  });

  it('gives the job up after the fourth failed run when each end is listed to two leaders', () => {
    for (const run of [2, 3, 4]) {
      succession.changeLeader();
      expect(succession.failStartedRuns()).toEqual([run]);
      succession.readReports();
    }
    succession.changeLeader();
    expect(succession.endedAs).toBe('failed');
    expect(succession.failStartedRuns()).toEqual([]);
  });
});
