import { setTimeout as delay } from 'node:timers/promises';

const POLL_INTERVAL_MS = 25;

/**
 * Repeats a check until it returns a value other than undefined, and returns this value. A check that rejects
 * is repeated too. Fails after a timeout in ms.
 */
export async function waitFor<T>(
  event: string,
  timeoutMs: number,
  check: () => Promise<T | undefined>,
): Promise<T> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) {
      return value;
    }
    if (Date.now() > deadline) {
      throw new Error(`${event} did not happen within ${timeoutMs} ms`);
    }
    await delay(POLL_INTERVAL_MS);
  }
}
