import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { JobRun } from '../../src/jobs';
import { RunTimeEstimator } from '../../src/jobs/run-time-estimator';
import { job, step } from './support/jobs';

const durations = fc.array(fc.integer({ max: 10_000, min: 0 }), { maxLength: 30, minLength: 12 });

// Guards against estimates that stay as they were when a run was read that ended since.
describe('RunTimeEstimator', () => {
  it('gives the same estimate whether or not it was asked before the newest samples', () => {
    fc.assert(
      fc.property(durations, fc.integer({ max: 5000, min: 0 }), (samples, estimatedMs) => {
        const asked = new RunTimeEstimator();
        const notAsked = new RunTimeEstimator();
        const spec = step({ estimatedMs });
        for (const sample of samples) {
          asked.addSample('quick', sample);
          asked.expectedMs('quick', spec);
          asked.expectedMs('quick', step({ estimatedMs: estimatedMs + 1 }));
          notAsked.addSample('quick', sample);
        }
        expect(asked.expectedMs('quick', spec)).toBe(notAsked.expectedMs('quick', spec));
      }),
    );
  });

  it('adds the run times of the matching steps along the longest path', () => {
    const steps = [
      step({ estimatedMs: 100 }),
      step({ estimatedMs: 700 }),
      step({ after: [0, 1], estimatedMs: 30 }),
      step({ after: [0], estimatedMs: 200 }),
    ];
    const run = new JobRun(job('j0', steps));
    const times = new RunTimeEstimator();
    expect(times.criticalPathMs(run, () => true)).toBe(730);
    expect(times.criticalPathMs(run, (item) => item.spec.estimatedMs !== 700)).toBe(300);
    expect(times.criticalPathMs(run, () => false)).toBe(0);
  });
});
