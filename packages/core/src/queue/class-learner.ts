import type { WorkClass } from './queue-request';
import { RunTimeHistogram } from './run-time-histogram';

/** Settings of a class learner. */
export interface ClassLearnerSettings {
  /** Quantile of the run times that decides the class, from 0 to 1. */
  classQuantile: number;
  /** Factor by which a sample loses weight with each later one. */
  decay: number;
  /** Multiple of the usual run time above which a run is a straggler. */
  stragglerFactor: number;
  /** Run time above which work is long, in ms. */
  thresholdMs: number;
}

/** Knowledge of the jobs' run times that a queue orders by. */
export interface JobClasses {
  classOf: (job: string) => WorkClass;
  /** Expected run time, in ms. */
  expectedMs: (job: string) => number;
  /** Whether a run of this length, in ms, is a straggler of its job. */
  isStraggler: (job: string, ranMs: number) => boolean;
  /** Records the run time of finished work, in ms. */
  record: (job: string, runMs: number) => void;
  /** Records that a run has exceeded the threshold and goes on. */
  sawLong: (job: string) => void;
  /** Run time above which work is long, in ms. */
  readonly thresholdMs: number;
}

/** Settings of a class learner that is given none. */
export const DEFAULT_LEARNER_SETTINGS: ClassLearnerSettings = {
  classQuantile: 0.75,
  decay: 0.99, // the last 100 runs carry about two thirds of the weight
  stragglerFactor: 30,
  thresholdMs: 250,
};

const USUAL_QUANTILE = 0.5;

interface Learnt {
  class: WorkClass;
  runs: RunTimeHistogram;
  usualMs: number;
}

/** Learns the class of each job from measured run times. */
export class ClassLearner implements JobClasses {
  readonly #jobs = new Map<string, Learnt>();
  readonly #provisionallyLong = new Set<string>();

  constructor(private readonly settings: ClassLearnerSettings = DEFAULT_LEARNER_SETTINGS) {}

  get thresholdMs(): number {
    return this.settings.thresholdMs;
  }

  // A job without history counts as short until one of its runs exceeds the threshold.
  classOf(job: string): WorkClass {
    return this.#jobs.get(job)?.class ?? (this.#provisionallyLong.has(job) ? 'long' : 'short');
  }

  expectedMs(job: string): number {
    return this.#jobs.get(job)?.runs.mean ?? this.settings.thresholdMs;
  }

  isStraggler(job: string, ranMs: number): boolean {
    const usualMs = this.#jobs.get(job)?.usualMs;
    return usualMs !== undefined && ranMs > this.settings.stragglerFactor * usualMs;
  }

  record(job: string, runMs: number): void {
    const learnt = this.#jobs.get(job) ?? this.#begin(job);
    learnt.runs.add(runMs);
    learnt.usualMs = learnt.runs.quantile(USUAL_QUANTILE);
    const decisive = learnt.runs.quantile(this.settings.classQuantile);
    learnt.class = decisive > this.settings.thresholdMs ? 'long' : 'short';
  }

  sawLong(job: string): void {
    if (!this.#jobs.has(job)) {
      this.#provisionallyLong.add(job);
    }
  }

  #begin(job: string): Learnt {
    const learnt: Learnt = { class: 'short', runs: new RunTimeHistogram(this.settings.decay), usualMs: 0 };
    this.#jobs.set(job, learnt);
    this.#provisionallyLong.delete(job);
    return learnt;
  }
}
