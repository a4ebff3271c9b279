import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { ProgressTimeout } from '../src/progress-timeout';

const LIMITS = { maxMs: 200, stallMs: 60, startMs: 60 };

/** Time by which a timer may be late, in ms. */
const TOLERANCE_MS = 60;

async function reportUntilAborted(timeout: ProgressTimeout): Promise<number> {
  const startedAt = performance.now();
  while (!timeout.signal.aborted) {
    timeout.reportProgress();
    await delay(10);
  }
  return performance.now() - startedAt;
}

// Guards against calls that go on for ever while single bytes arrive, and against timers that outlive a call.
describe('ProgressTimeout', () => {
  it('aborts at the limit for the whole call, although there is progress', async () => {
    const elapsedMs = await reportUntilAborted(new ProgressTimeout(new AbortController().signal, LIMITS));
    expect(elapsedMs).toBeGreaterThan(LIMITS.maxMs - 5);
    expect(elapsedMs).toBeLessThan(LIMITS.maxMs + TOLERANCE_MS);
  });

  it('does not shorten the limit to the first progress', async () => {
    const limits = { ...LIMITS, stallMs: 0 };
    const timeout = new ProgressTimeout(new AbortController().signal, limits);
    timeout.reportProgress();
    await delay(limits.startMs / 2);
    expect(timeout.signal.aborted).toBe(false);
    await expect.poll(() => timeout.signal.aborted).toBe(true);
  });

  it('aborts with its parent, and not at all once it is closed', async () => {
    const parent = new AbortController();
    const open = new ProgressTimeout(parent.signal, LIMITS);
    const closed = new ProgressTimeout(parent.signal, LIMITS);
    closed.close();
    parent.abort();
    expect(open.signal.aborted).toBe(true);
    await delay(LIMITS.startMs + TOLERANCE_MS);
    expect(closed.signal.aborted).toBe(false);
  });
});
