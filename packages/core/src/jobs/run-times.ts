import type { JobRun, StepRun } from './job-run';
import type { StepSpec } from './job-spec';

/** Weight of a declared estimate against the mean of the queue, on a logarithmic scale. */
const ESTIMATE_WEIGHT = 0.3;

/** Weight of the newest run in the mean. */
const NEWEST_WEIGHT = 0.05;

/** Runs after which the mean of a queue is used. */
const MIN_RUNS = 10;

interface QueueTimes {
  logMean: number;
  runs: number;
}

/** Run times by queue, learned from the runs that were done: declared estimates are far from the truth. */
export class RunTimes {
  readonly #queues = new Map<string, QueueTimes>();

  /** Takes the time of a run that was done, in ms. */
  done(queue: string, tookMs: number): void {
    const log = Math.log(Math.max(1, tookMs));
    const known = this.#queues.get(queue);
    if (known === undefined) {
      this.#queues.set(queue, { logMean: log, runs: 1 });
      return;
    }
    known.runs += 1;
    known.logMean += Math.max(NEWEST_WEIGHT, 1 / known.runs) * (log - known.logMean);
  }

  /** Expected time of a task of a step, in ms. */
  expected(queue: string, step: StepSpec): number {
    const known = this.#queues.get(queue);
    const estimate = Math.max(1, step.estimatedMs);
    if (known === undefined || known.runs < MIN_RUNS) {
      return estimate;
    }
    return Math.exp((1 - ESTIMATE_WEIGHT) * known.logMean + ESTIMATE_WEIGHT * Math.log(estimate));
  }

  /** Expected time of the longest chain of the steps of a job that match, in ms. */
  chain(run: JobRun, matches: (step: StepRun) => boolean): number {
    const endsAt: number[] = [];
    for (const step of run.occurrences.at(-1)?.steps ?? []) {
      const startsAt = Math.max(0, ...step.spec.after.map((before) => endsAt[before] ?? 0));
      endsAt.push(startsAt + (matches(step) ? this.expected(run.job.queue, step.spec) : 0));
    }
    return Math.max(0, ...endsAt);
  }
}
