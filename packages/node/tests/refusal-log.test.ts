import { SystemTimerService } from '@sequoiaquay/runtime';
import { describe, expect, it } from 'vitest';
import { RefusalLog } from '../src/refusal-log';
import { createRecordingLog } from './support/recording-log';

// Guards against refusals of many callers that crowd out all other lines.
describe('RefusalLog', () => {
  it('limits the lines of a second and says in the next line how many were left out', () => {
    const timers = new SystemTimerService();
    let now = 0;
    timers.mono = () => now;
    const lines: Record<string, unknown>[] = [];
    const refusals = new RefusalLog(timers, createRecordingLog(lines));
    for (let request = 0; request < 500; request += 1) {
      refusals.write({ request });
    }
    expect(lines).toHaveLength(50);
    now = 1001;
    refusals.write({ request: 500 });
    expect(lines.at(-1)).toMatchObject({ leftOut: 450, msg: 'request refused', request: 500 });
  });
});
