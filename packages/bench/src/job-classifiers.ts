import type { JobClassifier } from '@sequoiaquay/core';
import { DEFAULT_CLASSIFIER_SETTINGS } from '@sequoiaquay/core';
import { MEAN_RUN_MS, WORK_KINDS } from './arrival-trace';

const LONG_SHARE = WORK_KINDS.long.share + WORK_KINDS.straggler.share;
const LONG_MEAN_MS =
  (WORK_KINDS.long.share * WORK_KINDS.long.runMs + WORK_KINDS.straggler.share * WORK_KINDS.straggler.runMs) /
  LONG_SHARE;

/** Classifier that knows the class and mean run time of each job before its first run. */
export const knownJobClassifier: JobClassifier = {
  classOf: (job) => (isLongJob(job) ? 'long' : 'short'),
  expectedMs: (job) => (isLongJob(job) ? LONG_MEAN_MS : WORK_KINDS.short.runMs),
  isStraggler: () => false,
  record: () => undefined,
  recordLongRun: () => undefined,
  thresholdMs: DEFAULT_CLASSIFIER_SETTINGS.thresholdMs,
};

/** Classifier with one class for all jobs, so that the queue serves requests in order of arrival. */
export const singleClassClassifier: JobClassifier = {
  classOf: () => 'short',
  expectedMs: () => MEAN_RUN_MS,
  isStraggler: () => false,
  record: () => undefined,
  recordLongRun: () => undefined,
  thresholdMs: Infinity,
};

function isLongJob(job: string): boolean {
  return job.startsWith(WORK_KINDS.long.job);
}
