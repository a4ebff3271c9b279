import type { WorkRecordOf } from '@sequoiaquay/core';
import { ClaimTable } from '@sequoiaquay/core';
import type { Slope } from './slope';
import { measureSlope } from './slope';

const CLAIM_SIZES = [1000, 10_000, 50_000];
const HEAP_SIZES = [50_000, 100_000, 200_000];
const KEY_WINDOW_MS = 3_600_000;
const AT = 1_790_000_000_000;

/** Slopes of the `work` stream and of the claims that every entry remembers. */
export function workSlopes(): Slope[] {
  return [
    measureSlope('bytes-per-claimed-request', 'bytes', CLAIM_SIZES, claimBytes),
    measureSlope('heap-bytes-per-claim', 'bytes', HEAP_SIZES, claimHeap, false),
  ];
}

function claimBytes(claims: number): number {
  let bytes = 0;
  for (let index = 0; index < claims; index += 1) {
    bytes += JSON.stringify(claimOf(index)).length + JSON.stringify(outcomeOf(index)).length;
  }
  return bytes;
}

// Needs node --expose-gc for a figure that repeats within some per cent.
function claimHeap(claims: number): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const table = new ClaimTable({ keyWindowMs: KEY_WINDOW_MS });
  for (let index = 0; index < claims; index += 1) {
    table.applyClaim(claimOf(index));
    table.applyOutcome(outcomeOf(index));
  }
  globalThis.gc?.();
  return table.size === claims ? process.memoryUsage().heapUsed - before : 0;
}

function claimOf(index: number): WorkRecordOf<'claim'> {
  return {
    at: AT + index,
    by: 'entry-0',
    deadlineAt: AT + index + 30_000,
    digest: digits(index, 43),
    entry: 'entry-0',
    id: digits(index, 36),
    incarnation: AT,
    key: digits(index, 24),
    kind: 'claim',
    scope: 'team-000',
    v: 1,
  };
}

function outcomeOf(index: number): WorkRecordOf<'outcome'> {
  return {
    at: AT + index,
    body: digits(index, 100),
    bodyBytes: 100,
    bodyEncoding: 'utf8',
    by: 'entry-0',
    claim: digits(index, 36),
    id: digits(index, 36),
    key: digits(index, 24),
    kind: 'outcome',
    outcome: 'answered',
    scope: 'team-000',
    status: 200,
    v: 1,
  };
}

function digits(index: number, length: number): string {
  return String(index).padStart(length, '0');
}
