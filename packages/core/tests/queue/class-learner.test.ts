import { describe, expect, it } from 'vitest';
import { ClassLearner } from '../../src/index';

function record(learner: ClassLearner, job: string, runs: readonly number[]): void {
  for (const run of runs) {
    learner.record(job, run);
  }
}

describe('class learner', () => {
  it('counts unknown work as short until a run exceeds the threshold', () => {
    const learner = new ClassLearner();
    expect(learner.classOf('new')).toBe('short');
    learner.sawLong('new');
    expect(learner.classOf('new')).toBe('long');
  });

  // Guards against one straggler that turns a short job into a long one.
  it('keeps a short job short when a few of its runs are stragglers', () => {
    const learner = new ClassLearner();
    record(learner, 'quote', [...Array.from({ length: 97 }, () => 50), 1500, 1500, 1500]);
    learner.sawLong('quote');
    expect(learner.classOf('quote')).toBe('short');
    expect(learner.isStraggler('quote', 1000)).toBe(false);
    expect(learner.isStraggler('quote', 2000)).toBe(true);
  });

  // Guards against a class that never follows a job whose run time has changed.
  it('follows a job whose run time changes', () => {
    const learner = new ClassLearner();
    record(
      learner,
      'report',
      Array.from({ length: 5000 }, () => 50),
    );
    record(
      learner,
      'report',
      Array.from({ length: 150 }, () => 1500),
    );
    expect(learner.classOf('report')).toBe('long');
    expect(learner.expectedMs('report')).toBeGreaterThan(1000);
  });

  it('keeps finite sums over very many runs', () => {
    const learner = new ClassLearner();
    record(
      learner,
      'quote',
      Array.from({ length: 100_000 }, () => 50),
    );
    expect(learner.expectedMs('quote')).toBeCloseTo(50, 6);
  });
});
