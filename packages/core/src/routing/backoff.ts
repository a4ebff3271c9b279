import { v3 } from 'murmurhash';

const BASE_MS = 20;
const MAX_MS = 1000;
const HASH_RANGE = 2 ** 32;

/** Pause before a retry, in ms, with full jitter; `retry` counts from 0, the seed names the request. */
export function backoffMs(retry: number, seed: string): number {
  const limit = Math.min(MAX_MS, BASE_MS * 2 ** retry);
  return (limit * v3(`${seed}/${retry}`)) / HASH_RANGE;
}
