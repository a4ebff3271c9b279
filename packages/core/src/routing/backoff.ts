import { v3 } from 'murmurhash';

const BASE_DELAY_MS = 20;
const MAX_DELAY_MS = 1000;
const HASH_RANGE = 2 ** 32;

/**
 * Delay before a retry, in ms: exponential backoff with full jitter. `retry` counts from 0. The jitter is derived
 * from `seed`, which identifies the request.
 */
export function backoffMs(retry: number, seed: string): number {
  const limit = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** retry);
  return (limit * v3(`${seed}/${retry}`)) / HASH_RANGE;
}
