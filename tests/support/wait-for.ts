import { setTimeout as delay } from 'node:timers/promises';

const STEP_MS = 25;

/** Repeats a check until it gives a value other than undefined, or fails after a limit in ms. */
export async function waitFor<T>(
  what: string,
  limitMs: number,
  check: () => Promise<T | undefined>,
): Promise<T> {
  const until = Date.now() + limitMs;
  for (;;) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) {
      return value;
    }
    if (Date.now() > until) {
      throw new Error(`${what} did not happen within ${limitMs} ms`);
    }
    await delay(STEP_MS);
  }
}
