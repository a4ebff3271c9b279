import type { QueueConfig } from './fleet-config';
import type { JobRun, StepRun } from './job-run';
import type { AllowedWorkers } from './placement';
import type { PoolState } from './pool-state';
import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker } from './worker';
import { chooseForGang, chooseWorker } from './placement';
import { DECISION } from './scheduler-output';

/** Which workers may run a step of a queue with advice; undefined while that is not known. */
export type AdviceLookup = (queue: QueueConfig, step: StepRun, workers: readonly Worker[]) => AllowedWorkers;

/** Assigns waiting tasks to workers. */
export class Assigner {
  constructor(
    private readonly ctx: SchedulerContext,
    private readonly control: RunControl,
    private readonly advice: AdviceLookup,
  ) {}

  /** Assigns the tasks of a pool whose turn has come, as far as its workers have room. */
  assignIn(pool: PoolState, now: number, wallNow: number): void {
    const workers = pool.openWorkers(now);
    if (workers.length === 0) {
      return;
    }
    const queueOf = (run: JobRun): QueueConfig | undefined => this.ctx.queueOf(run);
    for (const run of pool.waitingJobs(queueOf, this.ctx.times, wallNow)) {
      for (const step of run.readySteps()) {
        this.#assignStep(run, step, workers, now);
      }
    }
  }

  #assignStep(run: JobRun, step: StepRun, workers: Worker[], now: number): void {
    const queue = this.ctx.queueOf(run);
    const allowed = queue?.advice === undefined ? undefined : this.advice(queue, step, workers);
    if (allowed?.size === 0) {
      return;
    }
    if (step.spec.gang) {
      this.#assignGang(step, workers, allowed, now);
      return;
    }
    for (const task of step.tasks) {
      if (task.phase === 'waiting') {
        const worker = chooseWorker(task, workers, allowed);
        if (worker === undefined) {
          return;
        }
        this.#assign(task, worker, task.run + 1, now);
      }
    }
  }

  #assignGang(step: StepRun, workers: Worker[], allowed: AllowedWorkers, now: number): void {
    if (step.waiting < step.tasks.length) {
      return;
    }
    const chosen = chooseForGang(step, workers, allowed);
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    for (const [task, worker] of chosen ?? []) {
      task.checkpoint = checkpoint;
      this.#assign(task, worker, run, now);
    }
  }

  #assign(task: Task, worker: Worker, run: number, now: number): void {
    task.assign(worker, run, now);
    this.control.store(task);
    this.ctx.out.starts.push({ run, task, worker });
    this.ctx.log(DECISION.assigned, {
      freeCpuMilli: worker.freeCpuMilli,
      pool: worker.info.pool,
      run,
      task: task.name,
      worker: worker.info.id,
    });
  }
}
