import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { JobRecord } from '../../src/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable } from '../../src/jobs';
import { job, step } from './support/jobs';

const ID = '00000bb87a21d94b';

const RECORDS: JobRecord[] = [
  { job: job(ID, [step()]), kind: 'submit' },
  { id: ID, kind: 'cancel' },
  { id: ID, kind: 'state', state: 'running' },
  { id: ID, kind: 'state', state: 'completed' },
];

function stateAfter(records: readonly JobRecord[]): string | undefined {
  const table = new JobTable();
  for (const record of records) {
    table.apply(record);
  }
  return table.stateOf(ID);
}

describe('JobTable', () => {
  it('reaches the same state for every order of the records', () => {
    const orders = fc.shuffledSubarray(RECORDS, { minLength: RECORDS.length });
    fc.assert(
      fc.property(orders, (records) => {
        expect(stateAfter(records)).toBe('completed');
      }),
    );
  });

  it('keeps the end of a job when a previous leader stores late that it is running', () => {
    const late: JobRecord = { id: ID, kind: 'state', state: 'running' };
    const newest = new Map(
      [...RECORDS, late].flatMap(encodeJobRecord).map((record) => [record.key, record.value]),
    );
    const kept = [...newest].map(([key, value]) => decodeJobRecord(key, value)._unsafeUnwrap());
    expect(stateAfter(kept)).toBe('completed');
  });

  it('returns no state for a job whose submit record has not been read', () => {
    expect(stateAfter([{ id: ID, kind: 'cancel' }])).toBeUndefined();
  });

  it('counts a job as queued until it is reported as running', () => {
    const table = new JobTable();
    table.apply({ job: job(ID, [step()]), kind: 'submit' });
    expect(table.countQueued('quick')).toBe(1);
    table.apply({ id: ID, kind: 'state', state: 'running' });
    expect(table.countQueued('quick')).toBe(0);
  });

  it('decodes every record that it encodes', () => {
    const kinds: JobRecord[] = [...RECORDS, { epoch: 4, kind: 'leader', node: 'n', released: true }];
    for (const record of kinds) {
      const [keyed] = encodeJobRecord(record);
      const decoded = decodeJobRecord(keyed?.key ?? '', keyed?.value);
      expect(decoded._unsafeUnwrap()).toEqual(record);
    }
  });

  it('returns an error for an invalid record instead of throwing', () => {
    expect(decodeJobRecord('j.x', '{').isErr()).toBe(true);
    expect(decodeJobRecord('e.x', 'lost').isErr()).toBe(true);
    expect(decodeJobRecord('zzz', '1').isErr()).toBe(true);
  });
});
