import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { JobRecord } from '../../src/jobs';
import { decodeJobRecord, encodeJobRecord, JobTable } from '../../src/jobs';
import { job, step } from './support/jobs';

const ID = '00000bb87a21d94b';

const SUBMIT: JobRecord = { job: job(ID, [step()]), kind: 'submit' };
const CANCEL: JobRecord = { id: ID, kind: 'cancel' };
const RUNNING: JobRecord = { id: ID, kind: 'state', state: 'running' };
const COMPLETED: JobRecord = { id: ID, kind: 'state', state: 'completed' };
const FAILED: JobRecord = { id: ID, kind: 'state', state: 'failed' };

const FORGET: JobRecord = { id: ID, kind: 'forget' };
const WITHDRAW: JobRecord = { id: ID, kind: 'withdraw', workspace: undefined };

const RECORDS: JobRecord[] = [SUBMIT, CANCEL, RUNNING, COMPLETED, WITHDRAW];

/** Appends after the acceptance of a job with one kind of end, in any order and also repeated. */
const HISTORY = fc.constantFrom(COMPLETED, FAILED).chain((end) =>
  fc.record({
    end: fc.constant(end),
    history: fc.array(fc.constantFrom(SUBMIT, CANCEL, RUNNING, WITHDRAW, end), { maxLength: 8 }),
  }),
);

interface Stored {
  key: string;
  offset: number;
  value: string | undefined;
}

/** Reader of the stream of jobs. */
class Reader {
  readonly #offsets = new Map<string, number>();
  readonly table = new JobTable();

  read({ key, offset, value }: Stored): void {
    if (value === undefined) {
      this.#offsets.delete(key);
    } else {
      this.#offsets.set(key, offset);
    }
    this.table.apply(decodeJobRecord(key, value)._unsafeUnwrap());
  }

  /** Loads the newest records as a tail does: missing keys are deleted, known records are skipped. */
  reload(newest: readonly Stored[]): void {
    const present = new Set(newest.map(({ key }) => key));
    for (const [key, offset] of [...this.#offsets].filter(([known]) => !present.has(known))) {
      this.read({ key, offset, value: undefined });
    }
    const unread = newest.filter(({ key, offset }) => (this.#offsets.get(key) ?? -1) < offset);
    for (const stored of unread.sort((a, b) => a.offset - b.offset)) {
      this.read(stored);
    }
  }

  summary(): Record<string, unknown> {
    const { table } = this;
    return {
      active: [...table.activeJobs()],
      ended: [...table.endedIds()],
      queued: table.countQueued('quick'),
      withdrawn: table.withdrawnCount,
      size: table.size,
      state: table.stateOf(ID),
    };
  }
}

function toLog(records: readonly JobRecord[]): Stored[] {
  return records.flatMap(encodeJobRecord).map((keyed, offset) => ({ ...keyed, offset }));
}

function readAll(log: readonly Stored[]): Reader {
  const reader = new Reader();
  for (const stored of log) {
    reader.read(stored);
  }
  return reader;
}

function newestOf(log: readonly Stored[]): Stored[] {
  const newest = [...new Map(log.map((stored) => [stored.key, stored])).values()];
  return newest.filter(({ value }) => value !== undefined).sort((a, b) => a.offset - b.offset);
}

/** Size of the text of a usual job, in bytes. */
const BODY_BYTES = 1500;

const ENDED_JOBS = 10_000;

/** Most bytes that an ended job may occupy in the stream. */
const MAX_ENDED_JOB_BYTES = 40;

function newestBytes(records: readonly JobRecord[]): number {
  const newest = new Map(records.flatMap(encodeJobRecord).map(({ key, value }) => [key, value]));
  const sizes = [...newest].map(([key, value]) => (value === undefined ? 0 : key.length + value.length));
  return sizes.reduce((sum, size) => sum + size, 0);
}

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

  it.each<JobRecord['kind']>(['cancel', 'state'])('keeps no text of ended jobs in the stream: %s', (kind) => {
    const bytes = newestBytes(
      Array.from({ length: ENDED_JOBS }, (_, index) => index.toString(16).padStart(16, '0')).flatMap((id) => {
        const submitted = job(id, [step()]);
        const spec = { ...submitted.spec, body: 'x'.repeat(BODY_BYTES) };
        return [
          { job: { ...submitted, spec }, kind: 'submit' },
          { id, kind: 'state', state: 'running' },
          kind === 'cancel' ? { id, kind } : { id, kind: 'state', state: 'completed' },
        ] satisfies JobRecord[];
      }),
    );
    expect(bytes).toBeLessThan(ENDED_JOBS * MAX_ENDED_JOB_BYTES);
  });

  it('returns no state for a job of which only a late state of a replaced leader is left', () => {
    expect(stateAfter([{ id: ID, kind: 'state', state: 'running' }])).toBeUndefined();
  });

  it('returns the state of an ended job whose specification is deleted', () => {
    expect(stateAfter([{ id: ID, kind: 'cancel' }])).toBe('cancelled');
    expect(stateAfter([{ id: ID, kind: 'state', state: 'completed' }])).toBe('completed');
  });

  it('keeps no specification of ended jobs in memory', () => {
    for (const end of [CANCEL, COMPLETED]) {
      const table = new JobTable();
      table.apply(SUBMIT);
      expect(table.apply(end)?.job).toBeUndefined();
      expect(table.apply(SUBMIT)?.job).toBeUndefined();
      expect([...table.activeJobs()]).toEqual([]);
      expect(table.countQueued('quick')).toBe(0);
    }
  });

  it('removes everything when a job is forgotten, also a specification that was stored late', () => {
    const records: JobRecord[] = [SUBMIT, RUNNING, COMPLETED, CANCEL, SUBMIT, RUNNING, FORGET];
    const log = records.flatMap(encodeJobRecord);
    const table = new JobTable();
    for (const { key, value } of log) {
      table.apply(decodeJobRecord(key, value)._unsafeUnwrap());
    }
    expect(table.size).toBe(0);
    expect(newestBytes(records)).toBe(0);
  });

  it('never revives an ended job, whatever is stored late, and however the stream is cut into pages', () => {
    fc.assert(
      fc.property(HISTORY, ({ end, history }) => {
        const reader = new Reader();
        let hasEnded = false;
        for (const stored of toLog([SUBMIT, ...history, end, FORGET])) {
          reader.read(stored);
          hasEnded ||= ['c.', 'e.', 'w.'].some((prefix) => stored.key.startsWith(prefix));
          const state = reader.table.stateOf(ID);
          const ends = ['cancelled', 'completed', 'failed', undefined];
          expect(hasEnded ? ends : ['queued', 'running']).toContain(state);
          expect([...reader.table.activeJobs()]).toHaveLength(hasEnded ? 0 : 1);
          expect(reader.table.countQueued('quick')).toBe(state === 'queued' ? 1 : 0);
        }
        expect(reader.table.size).toBe(0);
      }),
    );
  });

  it('reaches the same state from the newest records, in any order, as from every record', () => {
    const ranks = fc.array(fc.nat(), { maxLength: 5, minLength: 5 });
    fc.assert(
      fc.property(HISTORY, fc.boolean(), ranks, ({ end, history }, isForgotten, order) => {
        const log = toLog([SUBMIT, ...history, ...(isForgotten ? [end, FORGET] : [])]);
        const late = new Reader();
        const ranked = newestOf(log).map((stored, index) => ({ rank: order[index] ?? 0, stored }));
        for (const { stored } of ranked.sort((x, y) => x.rank - y.rank)) {
          late.read(stored);
        }
        expect(late.summary()).toEqual(readAll(log).summary());
      }),
    );
  });

  it('reaches the same state by a reload whose pages are read at different times as from every record', () => {
    const times = fc.array(fc.nat(), { maxLength: 6, minLength: 6 });
    fc.assert(
      fc.property(HISTORY, fc.boolean(), times, ({ end, history }, isForgotten, cuts) => {
        const appends = [SUBMIT, ...history, ...(isForgotten ? [end, FORGET] : [])];
        const [known = 0, first = 0, ...later] = cuts
          .map((cut) => toLog(appends.slice(0, cut % (appends.length + 1))).length)
          .sort((x, y) => x - y);
        const log = toLog(appends);
        const reader = readAll(log.slice(0, known));
        const pages = ['c.', 'e.', 'j.', 'r.', 'w.'].flatMap((prefix, index) =>
          newestOf(log.slice(0, [first, ...later][index])).filter(({ key }) => key.startsWith(prefix)),
        );
        reader.reload(pages);
        for (const stored of log.slice(first)) {
          reader.read(stored);
        }
        expect(reader.summary()).toEqual(readAll(log).summary());
      }),
    );
  });

  // Guards against a job that starts after its cancelling was acknowledged.
  it('never runs a job whose id was withdrawn before its submission, and shows none without one', () => {
    const table = new JobTable();
    table.apply(WITHDRAW);
    expect(table.stateOf(ID)).toBeUndefined();
    expect(table.isUnknownWithdrawn(ID)).toBe(true);
    expect(table.isWithdrawnFor(ID, undefined)).toBe(true);
    expect(table.isWithdrawnFor(ID, 'other')).toBe(false);
    expect(table.apply(SUBMIT)).toMatchObject({ cancelled: true, job: undefined });
    expect(table.stateOf(ID)).toBe('cancelled');
    expect(table.withdrawnCount).toBe(0);
    expect(stateAfter([SUBMIT, WITHDRAW])).toBe('cancelled');
  });

  it('runs a job of another workspace than the one that withdrew the id', () => {
    expect(stateAfter([{ ...WITHDRAW, workspace: 'other' }, SUBMIT])).toBe('queued');
    expect(stateAfter([SUBMIT, { ...WITHDRAW, workspace: 'other' }])).toBe('queued');
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

// Guards against an accepted job that counts for no workspace, or for another one, after a change of the leader.
describe('the workspace of an accepted job', () => {
  it.each([undefined, 'voyages'])('is kept in its record: %s', (workspace) => {
    const accepted = { ...job(ID, [step()]), workspace };
    const [record] = encodeJobRecord({ job: accepted, kind: 'submit' });
    const decoded = decodeJobRecord(record?.key ?? '', record?.value)._unsafeUnwrap();
    expect(decoded).toEqual({ job: accepted, kind: 'submit' });
  });

  it('does not keep a job from being read if it is not understood', () => {
    const [record] = encodeJobRecord({ job: job(ID, [step()]), kind: 'submit' });
    const odd = JSON.stringify({ ...(JSON.parse(record?.value ?? '') as object), workspace: 7 });
    expect(decodeJobRecord(record?.key ?? '', odd)._unsafeUnwrap()).toMatchObject({ job: { id: ID } });
  });
});
