import type { FleetRecord, FleetState } from '@sequoiaquay/core';
import type { FleetApplyResult, LogEntry } from '@sequoiaquay/platform';
import { fleetRecordSchema } from '@sequoiaquay/core';

/** A record that this control process has applied, with its result. */
export interface JournalEntry {
  accepted: boolean;
  /** Writer's wall clock, in ms since the epoch; 0 when the record is unreadable. */
  at: number;
  by: string;
  /** Fields of the record that are strings, numbers or booleans. */
  data: Record<string, boolean | number | string>;
  /** Explanation of a rejection; empty when the record was accepted. */
  detail: string;
  id: string;
  kind: string;
  offset: number;
  /** Pool of the record's VM after the record was applied; empty when it names no known VM. */
  pool: string;
  /** Machine-readable reason of a rejection; empty when the record was accepted. */
  reason: string;
}

/** Field and value that select journal entries. */
export interface JournalSubject {
  field: 'member' | 'team' | 'vm' | 'wave';
  name: string;
}

/** Number of records kept; at about 500 bytes each, 1 MB of the 64 MB of a control process. */
export const JOURNAL_CAPACITY = 2000;

/** Longest text kept of one field, in characters. */
const MAX_TEXT_CHARS = 200;

const ENVELOPE_FIELDS: ReadonlySet<string> = new Set(['at', 'by', 'id', 'kind', 'v']);

/** Holds a bounded number of applied records and their results, in log order. */
export class Journal {
  #entries: JournalEntry[] = [];
  readonly #recordsById = new Map<string, JournalEntry>();

  constructor(private readonly capacity = JOURNAL_CAPACITY) {}

  /** Offset of the oldest record kept, or undefined when there is none. */
  get oldestOffset(): number | undefined {
    return this.#entries[0]?.offset;
  }

  /** Adds an applied record and its result; `state` is the fleet state after the record. */
  add(entry: LogEntry, result: FleetApplyResult, state: FleetState): JournalEntry {
    const record = fleetRecordSchema.safeParse(entry.value);
    const added = record.success
      ? fromRecord(entry.offset, record.data, result, state)
      : fromUnreadable(entry.offset, result);
    this.#entries.push(added);
    // A record whose id is a duplicate doesn't replace the result of the first record with this id.
    if (record.success && added.reason !== 'duplicate-id') {
      this.#recordsById.set(added.id, added);
    }
    if (this.#entries.length > 2 * this.capacity) {
      this.#trim();
    }
    return added;
  }

  /** Returns the entry of the first record with an id, or undefined when none is kept. */
  findByRecordId(recordId: string): JournalEntry | undefined {
    return this.#recordsById.get(recordId);
  }

  /** Returns the entries whose field has the given value, in log order. */
  findBySubject(subject: JournalSubject): JournalEntry[] {
    return this.#entries.filter((entry) => entry.data[subject.field] === subject.name);
  }

  /** Returns the entries about a pool: its VMs, moves to and from it, and records of the team that owns it. */
  findByPool(pool: string, team: string | undefined): JournalEntry[] {
    return this.#entries.filter(
      (entry) =>
        entry.pool === pool ||
        entry.data.to === pool ||
        entry.data.from === pool ||
        (team !== undefined && entry.data.team === team),
    );
  }

  #trim(): void {
    const dropped = this.#entries.slice(0, -this.capacity);
    this.#entries = this.#entries.slice(-this.capacity);
    for (const entry of dropped) {
      if (this.#recordsById.get(entry.id) === entry) {
        this.#recordsById.delete(entry.id);
      }
    }
  }
}

function fromRecord(
  offset: number,
  record: FleetRecord,
  result: FleetApplyResult,
  state: FleetState,
): JournalEntry {
  const vm = 'vm' in record ? state.vms.get(record.vm) : undefined;
  return {
    accepted: result.isOk(),
    at: record.at,
    by: record.by,
    data: scalarFields(record),
    detail: result.isErr() ? result.error.detail : '',
    id: record.id,
    kind: record.kind,
    offset,
    pool: vm?.pool ?? '',
    reason: result.isErr() ? result.error.reason : '',
  };
}

function fromUnreadable(offset: number, result: FleetApplyResult): JournalEntry {
  return {
    accepted: false,
    at: 0,
    by: '',
    data: {},
    detail: result.isErr() ? result.error.detail.slice(0, MAX_TEXT_CHARS) : '',
    id: '',
    kind: 'unreadable',
    offset,
    pool: '',
    reason: result.isErr() ? result.error.reason : '',
  };
}

function scalarFields(record: FleetRecord): JournalEntry['data'] {
  const data: JournalEntry['data'] = {};
  for (const [field, value] of Object.entries<unknown>(record)) {
    if (ENVELOPE_FIELDS.has(field)) {
      continue;
    }
    if (typeof value === 'string') {
      data[field] = value.slice(0, MAX_TEXT_CHARS);
    } else if (typeof value === 'number' || typeof value === 'boolean') {
      data[field] = value;
    }
  }
  return data;
}
