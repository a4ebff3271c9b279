import type { WorkClass } from './queue-request';
import { RunTimeHistogram } from './run-time-histogram';

/** Settings of a run-time classifier. */
export interface RunTimeClassifierSettings {
  /** Quantile of the run times that is compared with the threshold, from 0 to 1. */
  classQuantile: number;
  /** Factor, below 1, by which each new sample reduces the weight of all earlier ones. */
  decay: number;
  /** Multiple of the median run time above which a run is a straggler. */
  stragglerFactor: number;
  /** Run time above which work is long, in ms. */
  thresholdMs: number;
}

/** Classifies jobs by their run times; a queue orders requests by the class. */
export interface JobClassifier {
  /** Class of a job. */
  classOf: (job: string) => WorkClass;
  /** Expected run time of a job, in ms. */
  expectedMs: (job: string) => number;
  /** Whether a run that has taken `ranMs` so far is a straggler of its job. */
  isStraggler: (job: string, ranMs: number) => boolean;
  /** Records the run time of a finished run, in ms. */
  record: (job: string, runMs: number) => void;
  /** Records that an unfinished run has exceeded the threshold. */
  recordLongRun: (job: string) => void;
  /** Run time above which work is long, in ms. */
  readonly thresholdMs: number;
}

/** Default settings of a run-time classifier. */
export const DEFAULT_CLASSIFIER_SETTINGS: RunTimeClassifierSettings = {
  classQuantile: 0.75,
  decay: 0.99, // the last 100 runs have about two thirds of the total weight
  stragglerFactor: 30,
  thresholdMs: 250,
};

const MEDIAN_QUANTILE = 0.5;

interface JobHistory {
  class: WorkClass;
  medianMs: number;
  runs: RunTimeHistogram;
}

/** Classifies each job by a quantile of its measured run times. */
export class RunTimeClassifier implements JobClassifier {
  readonly #histories = new Map<string, JobHistory>();
  readonly #provisionallyLong = new Set<string>();

  constructor(private readonly settings: RunTimeClassifierSettings = DEFAULT_CLASSIFIER_SETTINGS) {}

  get thresholdMs(): number {
    return this.settings.thresholdMs;
  }

  // A job without finished runs is short until one of its runs exceeds the threshold.
  classOf(job: string): WorkClass {
    return this.#histories.get(job)?.class ?? (this.#provisionallyLong.has(job) ? 'long' : 'short');
  }

  expectedMs(job: string): number {
    return this.#histories.get(job)?.runs.mean ?? this.settings.thresholdMs;
  }

  isStraggler(job: string, ranMs: number): boolean {
    const medianMs = this.#histories.get(job)?.medianMs;
    return medianMs !== undefined && ranMs > this.settings.stragglerFactor * medianMs;
  }

  record(job: string, runMs: number): void {
    const history = this.#histories.get(job) ?? this.#addJob(job);
    history.runs.add(runMs);
    history.medianMs = history.runs.quantile(MEDIAN_QUANTILE);
    const classQuantileMs = history.runs.quantile(this.settings.classQuantile);
    history.class = classQuantileMs > this.settings.thresholdMs ? 'long' : 'short';
  }

  recordLongRun(job: string): void {
    if (!this.#histories.has(job)) {
      this.#provisionallyLong.add(job);
    }
  }

  #addJob(job: string): JobHistory {
    const history: JobHistory = {
      class: 'short',
      medianMs: 0,
      runs: new RunTimeHistogram(this.settings.decay),
    };
    this.#histories.set(job, history);
    this.#provisionallyLong.delete(job);
    return history;
  }
}
