import type { JobRun } from './job-run';
import type { StepSpec } from './job-spec';
import type { StepRun } from './step-run';

/** Weight of a step's declared estimate against the mean of its queue, on a logarithmic scale. */
const DECLARED_ESTIMATE_WEIGHT = 0.3;

/** Minimum weight of the newest sample in the moving mean. */
const MIN_SAMPLE_WEIGHT = 0.05;

/** Minimum number of samples before the mean of a queue is used. */
const MIN_SAMPLES = 10;

/** Statistics of the completed runs of a queue. */
interface QueueStats {
  /** Expected run times by declared estimate, in ms, computed since the last sample. */
  expectedMs: Map<number, number>;
  /** Moving mean of the natural logarithms of the durations in ms. */
  meanLogMs: number;
  samples: number;
}

/**
 * Estimates run times from the completed runs of each queue, because declared estimates are far from the
 * actual run times.
 */
export class RunTimeEstimator {
  readonly #statsByQueue = new Map<string, QueueStats>();

  /** Adds the duration of a completed run, in ms. */
  addSample(queue: string, durationMs: number): void {
    const logMs = Math.log(Math.max(1, durationMs));
    const stats = this.#statsByQueue.get(queue);
    if (stats === undefined) {
      this.#statsByQueue.set(queue, { expectedMs: new Map(), meanLogMs: logMs, samples: 1 });
      return;
    }
    stats.expectedMs.clear();
    stats.samples += 1;
    stats.meanLogMs += Math.max(MIN_SAMPLE_WEIGHT, 1 / stats.samples) * (logMs - stats.meanLogMs);
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
