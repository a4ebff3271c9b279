import { describe, expect, it } from 'vitest';
import { RunTimeClassifier } from '../../src/index';

function record(classifier: RunTimeClassifier, job: string, runs: readonly number[]): void {
  for (const run of runs) {
    classifier.record(job, run);
  }
}

describe('RunTimeClassifier', () => {
  it('classifies an unknown job as short until one of its runs exceeds the threshold', () => {
    const classifier = new RunTimeClassifier();
    expect(classifier.classOf('new')).toBe('short');
    classifier.recordLongRun('new');
    expect(classifier.classOf('new')).toBe('long');
  });

  // Guards against a few stragglers that reclassify a short job as long.
  it('keeps a job short when a few of its runs are stragglers', () => {
    const classifier = new RunTimeClassifier();
    record(classifier, 'quote', [...Array.from({ length: 97 }, () => 50), 1500, 1500, 1500]);
    classifier.recordLongRun('quote');
    expect(classifier.classOf('quote')).toBe('short');
    expect(classifier.isStraggler('quote', 1000)).toBe(false);
    expect(classifier.isStraggler('quote', 2000)).toBe(true);
  });

  // Guards against a class that stays the same although the run time of the job has changed.
  it('reclassifies a job whose run time changes', () => {
    const classifier = new RunTimeClassifier();
    record(
      classifier,
      'report',
      Array.from({ length: 5000 }, () => 50),
    );
    record(
      classifier,
      'report',
      Array.from({ length: 150 }, () => 1500),
    );
    expect(classifier.classOf('report')).toBe('long');
    expect(classifier.expectedMs('report')).toBeGreaterThan(1000);
  });

  it('computes a finite mean over 100,000 runs', () => {
    const classifier = new RunTimeClassifier();
    record(
      classifier,
      'quote',
      Array.from({ length: 100_000 }, () => 50),
    );
    expect(classifier.expectedMs('quote')).toBeCloseTo(50, 6);
  });
});
