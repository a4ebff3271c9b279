import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { WorkRecordOf } from '../../src/records/work-record';
import { ClaimTable } from '../../src/claims/claim-table';
import { decodeRecord } from '../../src/records/decode';
import { workRecordSchema } from '../../src/records/work-record';

const SEED = 11;
const WINDOW_MS = 10_000;

type Step =
  | { claim: number; kind: 'claim' }
  | { claim: number; kind: 'outcome'; outcome: 'answered' | 'not-run' | 'unknown' };

const keys = ['a', 'b', 'c'];

function claimRecord(claim: number, at: number): WorkRecordOf<'claim'> {
  return {
    at,
    by: 'entry',
    deadlineAt: at + 1000,
    digest: 'digest',
    entry: `entry-${claim % 4}`,
    id: `claim-${claim}`,
    incarnation: 1,
    key: keys[claim % keys.length] ?? '',
    kind: 'claim',
    scope: 'team',
    v: 1,
  };
}

function outcomeRecord(
  claim: number,
  at: number,
  outcome: 'answered' | 'not-run' | 'unknown',
): WorkRecordOf<'outcome'> {
  return {
    at,
    by: 'entry',
    claim: `claim-${claim}`,
    id: `outcome-${claim}-${outcome}`,
    key: keys[claim % keys.length] ?? '',
    kind: 'outcome',
    outcome,
    scope: 'team',
    v: 1,
  };
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ claim: fc.nat(11), kind: fc.constant('claim' as const) }),
  fc.record({
    claim: fc.nat(11),
    kind: fc.constant('outcome' as const),
    outcome: fc.constantFrom('answered' as const, 'not-run' as const, 'unknown' as const),
  }),
);

// Records in log order. Repeated records model appends whose answer was lost; clocks differ by up to 60 ms.
const steps = fc.array(fc.record({ skewMs: fc.integer({ max: 60, min: 0 }), step }), { maxLength: 60 });

describe('ClaimTable', () => {
  // Guards against two claims that hold the same key, which would run a request twice.
  it('has at most one holder per key whose request may have run, for any order of records', () => {
    fc.assert(
      fc.property(steps, (log) => {
        const table = new ClaimTable({ keyWindowMs: WINDOW_MS });
        const holders = new Map<string, Set<string>>();
        const released = new Set<string>();
        for (const [index, { skewMs, step: current }] of log.entries()) {
          const at = 1000 + index + skewMs;
          if (current.kind === 'claim') {
            const record = claimRecord(current.claim, at);
            if (table.applyClaim(record) === 'held') {
              const held = holders.get(record.key) ?? new Set();
              holders.set(record.key, held.add(record.id));
            }
            continue;
          }
          const record = outcomeRecord(current.claim, at, current.outcome);
          const holder = table.find('team', record.key);
          if (holder?.id === record.claim && holder.result === undefined && current.outcome === 'not-run') {
            released.add(record.claim);
          }
          table.applyOutcome(record);
        }
        for (const held of holders.values()) {
          // The request of every holder that did not end as not run may have run.
          expect([...held].filter((id) => !released.has(id)).length).toBeLessThanOrEqual(1);
        }
      }),
      { numRuns: 2000, seed: SEED },
    );
  });

  // Guards against replicas that decide differently, for example by their own clock.
  it('produces the same results and claims on replicas that read the same records', () => {
    fc.assert(
      fc.property(steps, (log) => {
        const tables = [0, 1].map(() => new ClaimTable({ keyWindowMs: WINDOW_MS }));
        for (const [index, { skewMs, step: current }] of log.entries()) {
          const at = 1000 + index + skewMs;
          const results = tables.map((table) => {
            if (current.kind === 'claim') {
              return table.applyClaim(claimRecord(current.claim, at));
            }
            table.applyOutcome(outcomeRecord(current.claim, at, current.outcome));
            return undefined;
          });
          expect(results[0]).toBe(results[1]);
        }
        for (const key of keys) {
          expect(tables[0]?.find('team', key)).toEqual(tables[1]?.find('team', key));
        }
      }),
      { numRuns: 1000, seed: SEED },
    );
  });

  it('refuses a key after its window and removes it after twice the window', () => {
    const table = new ClaimTable({ keyWindowMs: WINDOW_MS });
    expect(table.applyClaim(claimRecord(0, 0))).toBe('held');
    expect(table.applyClaim(claimRecord(3, WINDOW_MS))).toBe('lost');
    expect(table.applyClaim(claimRecord(3, WINDOW_MS + 1))).toBe('expired');
    expect(table.applyClaim(claimRecord(3, 2 * WINDOW_MS + 1))).toBe('held');
  });
});

describe('decoder of work records', () => {
  // Guards against records that crash a replica: a writer may be newer, faulty or hostile.
  it('never throws and reports the problems of every record that it rejects', () => {
    fc.assert(
      fc.property(fc.oneof(fc.anything(), fc.jsonValue()), (raw) => {
        const decoded = decodeRecord(workRecordSchema, raw);
        expect(decoded.isOk() || decoded.error.problems.length > 0).toBe(true);
      }),
      { numRuns: 2000, seed: SEED },
    );
  });

  it('rejects a claim or an outcome with a field of the wrong type', () => {
    const records = [claimRecord(1, 5), outcomeRecord(1, 5, 'answered')];
    fc.assert(
      fc.property(fc.constantFrom(...records), fc.nat(20), (record, pick) => {
        expect(decodeRecord(workRecordSchema, record).isOk()).toBe(true);
        const names = Object.keys(record);
        const broken = { ...record, [names[pick % names.length] ?? 'id']: { not: 'this' } };
        expect(decodeRecord(workRecordSchema, broken).isErr()).toBe(true);
      }),
      { numRuns: 300, seed: SEED },
    );
  });
});
