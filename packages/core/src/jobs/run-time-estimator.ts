import type { JobRun } from './job-run';
import type { StepSpec } from './job-spec';
import type { StepRun } from './step-run';

/** Weight of a step's declared estimate against the mean of its queue, on a logarithmic scale. */
const DECLARED_ESTIMATE_WEIGHT = 0.3;

/** Minimum weight of the newest sample in the moving mean. */
const MIN_SAMPLE_WEIGHT = 0.05;

/** Minimum number of samples before the mean of a queue is used. */
const MIN_SAMPLES = 10;

/** Spread of run times before any was seen, as a standard deviation of natural logarithms: declared estimates are wrong by half. */
const INITIAL_SPREAD = Math.log(1.5);

/** Half width of the interval of run times, in standard deviations. */
const INTERVAL_DEVIATIONS = 0.5;

/** Expected run time of a task on a worker near its data, with an interval around it. */
export interface RunTimeInterval {
  expectedMs: number;
  highMs: number;
  lowMs: number;
}

/** What a completed run took its time for. */
export interface RunCircumstances {
  /** How many times as long it took as on a worker near its data. */
  slowdown: number;
  step: StepSpec;
}

/** Statistics of the completed runs of a queue. */
interface QueueStats {
  /** Expected run times by declared estimate, in ms, computed since the last sample. */
  expectedMs: Map<number, number>;
  /** Moving mean of the natural logarithms of the durations in ms. */
  meanLogMs: number;
  /** The same without the slowdown of runs that were not near their data. */
  meanNearLogMs: number;
  samples: number;
  /** Moving mean of the squared differences between the logarithms of durations, without slowdown, and expectations. */
  squaredDeviation: number;
}

/**
 * Estimates run times from the completed runs of each queue, because declared estimates are far from the
 * actual run times.
 */
export class RunTimeEstimator {
  readonly #statsByQueue = new Map<string, QueueStats>();

  /** Adds the duration of a completed run, in ms. */
  addSample(queue: string, durationMs: number, run?: RunCircumstances): void {
    const logMs = Math.log(Math.max(1, durationMs));
    const nearLogMs = logMs - Math.log(run?.slowdown ?? 1);
    const stats = this.#statsByQueue.get(queue);
    if (stats === undefined) {
      this.#statsByQueue.set(queue, {
        expectedMs: new Map(),
        meanLogMs: logMs,
        meanNearLogMs: nearLogMs,
        samples: 1,
        squaredDeviation: INITIAL_SPREAD ** 2,
      });
      return;
    }
    stats.expectedMs.clear();
    stats.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / stats.samples);
    if (run !== undefined) {
      const deviation = nearLogMs - expectedNearLogMs(stats, run.step);
      stats.squaredDeviation += weight * (deviation ** 2 - stats.squaredDeviation);
    }
    stats.meanLogMs += weight * (logMs - stats.meanLogMs);
    stats.meanNearLogMs += weight * (nearLogMs - stats.meanNearLogMs);
  }

  /** Returns the run time of a task of a step on a worker near its data. */
  nearInterval(queue: string, step: StepSpec): RunTimeInterval {
    const stats = this.#statsByQueue.get(queue);
    const isLearned = stats !== undefined && stats.samples >= MIN_SAMPLES;
    const expectedMs = isLearned ? Math.exp(expectedNearLogMs(stats, step)) : Math.max(1, step.estimatedMs);
    const spread = isLearned ? Math.sqrt(stats.squaredDeviation) : INITIAL_SPREAD;
    const factor = Math.exp(INTERVAL_DEVIATIONS * spread);
    return { expectedMs, highMs: expectedMs * factor, lowMs: expectedMs / factor };
  }

  /** Returns the expected run time of a task of a step, in ms. */
  expectedMs(queue: string, step: StepSpec): number {
    const stats = this.#statsByQueue.get(queue);
    const estimateMs = Math.max(1, step.estimatedMs);
    if (stats === undefined || stats.samples < MIN_SAMPLES) {
      return estimateMs;
    }
    const known = stats.expectedMs.get(estimateMs);
    if (known !== undefined) {
      return known;
    }
    const expectedMs = Math.exp(
      (1 - DECLARED_ESTIMATE_WEIGHT) * stats.meanLogMs + DECLARED_ESTIMATE_WEIGHT * Math.log(estimateMs),
    );
    stats.expectedMs.set(estimateMs, expectedMs);
    return expectedMs;
  }

  /**
   * Returns the expected duration of the critical path through the matching steps of the newest occurrence of
   * a job, in ms.
   */
  criticalPathMs(run: JobRun, matches: (step: StepRun) => boolean): number {
    const endsAtMs: number[] = [];
    let longestMs = 0;
    for (const step of run.occurrences.at(-1)?.steps ?? []) {
      let endMs = 0;
      for (const index of step.spec.after) {
        endMs = Math.max(endMs, endsAtMs[index] ?? 0);
      }
      endMs += matches(step) ? this.expectedMs(run.job.queue, step.spec) : 0;
      endsAtMs.push(endMs);
      longestMs = Math.max(longestMs, endMs);
    }
    return longestMs;
  }
}

function expectedNearLogMs({ meanNearLogMs }: QueueStats, step: StepSpec): number {
  const declaredLogMs = Math.log(Math.max(1, step.estimatedMs));
  return (1 - DECLARED_ESTIMATE_WEIGHT) * meanNearLogMs + DECLARED_ESTIMATE_WEIGHT * declaredLogMs;
}
