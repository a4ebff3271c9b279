import type { JobClassifier } from '@sequoiaquay/core';
import { DEFAULT_CLASSIFIER_SETTINGS } from '@sequoiaquay/core';
import { KINDS, MEAN_RUN_MS } from './arrival-trace';

const LONG_SHARE = KINDS.long.share + KINDS.straggler.share;
const LONG_MEAN_MS =
  (KINDS.long.share * KINDS.long.runMs + KINDS.straggler.share * KINDS.straggler.runMs) / LONG_SHARE;

/** Classes that are known before the first run. */
export const knownClasses: JobClassifier = {
  classOf: (job) => (isLong(job) ? 'long' : 'short'),
  expectedMs: (job) => (isLong(job) ? LONG_MEAN_MS : KINDS.short.runMs),
  isStraggler: () => false,
  record: () => undefined,
  recordLongRun: () => undefined,
  thresholdMs: DEFAULT_CLASSIFIER_SETTINGS.thresholdMs,
};

/** One class for all work, so that the queue keeps the order of arrival. */
export const oneClass: JobClassifier = {
  classOf: () => 'short',
  expectedMs: () => MEAN_RUN_MS,
  isStraggler: () => false,
  record: () => undefined,
  recordLongRun: () => undefined,
  thresholdMs: Infinity,
};

function isLong(job: string): boolean {
  return job.startsWith(KINDS.long.job);
}
