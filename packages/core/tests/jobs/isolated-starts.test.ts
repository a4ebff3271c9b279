import { describe, expect, it } from 'vitest';
import type { Job, StartOrder, TaskRecord } from '../../src/jobs';
import { Scheduler, START_ANSWER } from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const TICK_MS = 100;

const SUSPECT: TaskRecord = {
  checkpoint: '',
  crashes: { alone: 0, caused: 0, lastRun: 1, suspected: 1 },
  failures: 0,
  run: 1,
  state: 'waiting',
  task: 'suspect.0.0.0',
  workerId: '',
};

/** Leader with one large worker, whose answers to start orders take a while. */
class SlowWorker {
  now = 1000;
  #orders: { at: number; order: StartOrder }[] = [];
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  readonly started: string[] = [];

  constructor(private readonly answerMs: number) {
    const cfg = config();
    const [queue] = cfg.queues;
    const queues =
      queue === undefined
        ? []
        : [
            { ...queue, priority: 1 },
            { ...queue, name: 'urgent' },
          ];
    this.scheduler.onConfig({ ...cfg, queues });
    const capacity = { cpuMilli: 400_000, gpus: 0, memoryMb: 100_000 };
    this.scheduler.onWorkerRegistered(worker('a', { capacity }), this.now);
    const [added] = this.scheduler.workers.values();
    if (added !== undefined) {
      this.scheduler.onReport(added, report(), this.now - 1, this.now);
    }
  }

  add(added: Job, records: readonly TaskRecord[] = []): void {
    this.scheduler.onJob(added, records, this.now, 0);
  }

  tick(): void {
    this.now += TICK_MS;
    for (const { order } of this.#orders.filter(({ at }) => at <= this.now)) {
      this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
    this.#orders = this.#orders.filter(({ at }) => at > this.now);
    this.scheduler.requestAssignment();
    for (const order of this.scheduler.plan(this.now, 0).starts) {
      this.started.push(order.task.name);
      this.#orders.push({ at: this.now + this.answerMs, order });
    }
  }
}

function urgentJob(index: number): Job {
  return { ...job(`urgent${index}`, [step()]), queue: 'urgent' };
}

describe('a task that is suspected of crashing its worker', () => {
  it('starts although a worker that answers slowly is given tasks of a higher rank all the time', () => {
    const fleet = new SlowWorker(600);
    fleet.add(job('suspect', [step()]), [SUSPECT]);
    for (let index = 0; index < 30; index += 1) {
      fleet.add(urgentJob(index));
      fleet.tick();
    }
    expect(fleet.started).toContain(SUSPECT.task);
  });

  it('holds no worker once its job has ended', () => {
    const fleet = new SlowWorker(200);
    fleet.add(urgentJob(0));
    fleet.tick();
    fleet.add(job('suspect', [step()]), [SUSPECT]);
    fleet.tick();
    fleet.scheduler.onCancel('suspect', fleet.now);
    fleet.add(urgentJob(1));
    fleet.tick();
    expect(fleet.started).toEqual(['urgent0.0.0.0', 'urgent1.0.0.0']);
  });
});
