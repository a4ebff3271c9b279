import type { WorkRecordOf } from '@sequoiaquay/core';
import { ClaimTable } from '@sequoiaquay/core';
import type { Slope } from './slope';
import { measureSlope } from './slope';

const CLAIM_COUNTS = [1000, 10_000, 50_000];
const HEAP_CLAIM_COUNTS = [50_000, 100_000, 200_000];
const KEY_WINDOW_MS = 3_600_000;
const FIRST_RECORD_AT_MS = 1_790_000_000_000;

/** Measures the size of claim records in the `work` stream and of the claims that each entry holds in memory. */
export function workSlopes(): Slope[] {
  return [
    measureSlope('bytes-per-claimed-request', 'bytes', CLAIM_COUNTS, measureClaimBytes),
    measureSlope('heap-bytes-per-claim', 'bytes', HEAP_CLAIM_COUNTS, measureClaimHeapBytes, false),
  ];
}

function measureClaimBytes(claimCount: number): number {
  let bytes = 0;
  for (let index = 0; index < claimCount; index += 1) {
    bytes += JSON.stringify(createClaim(index)).length + JSON.stringify(createOutcome(index)).length;
  }
  return bytes;
}

// The result is reproducible to within a few per cent only with node --expose-gc.
function measureClaimHeapBytes(claimCount: number): number {
  globalThis.gc?.();
  const heapBytesBefore = process.memoryUsage().heapUsed;
  const table = new ClaimTable({ keyWindowMs: KEY_WINDOW_MS });
  for (let index = 0; index < claimCount; index += 1) {
    table.applyClaim(createClaim(index));
    table.applyOutcome(createOutcome(index));
  }
  globalThis.gc?.();
  return table.size === claimCount ? process.memoryUsage().heapUsed - heapBytesBefore : 0;
}

function createClaim(index: number): WorkRecordOf<'claim'> {
  return {
    at: FIRST_RECORD_AT_MS + index,
    by: 'entry-0',
    deadlineAt: FIRST_RECORD_AT_MS + index + 30_000,
    digest: zeroPadded(index, 43),
    entry: 'entry-0',
    id: zeroPadded(index, 36),
    incarnation: FIRST_RECORD_AT_MS,
    key: zeroPadded(index, 24),
    kind: 'claim',
    scope: 'team-000',
    v: 1,
  };
}

function createOutcome(index: number): WorkRecordOf<'outcome'> {
  return {
    at: FIRST_RECORD_AT_MS + index,
    body: zeroPadded(index, 100),
    bodyBytes: 100,
    bodyEncoding: 'utf8',
    by: 'entry-0',
    claim: zeroPadded(index, 36),
    id: zeroPadded(index, 36),
    key: zeroPadded(index, 24),
    kind: 'outcome',
    outcome: 'answered',
    scope: 'team-000',
    status: 200,
    v: 1,
  };
}

function zeroPadded(index: number, length: number): string {
  return String(index).padStart(length, '0');
}
