import type { FleetRecord, FleetState } from '@sequoiaquay/core';
import type { FleetApplyResult, LogEntry } from '@sequoiaquay/platform';
import { fleetRecordSchema } from '@sequoiaquay/core';

/** A record that this control has applied, with the fold's verdict. */
export interface JournalEntry {
  accepted: boolean;
  /** Writer's wall clock, in ms since the epoch; 0 when the record is unreadable. */
  at: number;
  by: string;
  /** Fields of the record that are single values. */
  data: Record<string, boolean | number | string>;
  /** Why the fold rejected the record; empty when it was accepted. */
  detail: string;
  id: string;
  kind: string;
  offset: number;
  /** Pool of the VM that the record is about, after the record. */
  pool: string;
  /** Stable reason of a rejection; empty when the record was accepted. */
  reason: string;
}

/** What a journal entry is about. */
export interface JournalSubject {
  field: 'member' | 'team' | 'vm' | 'wave';
  name: string;
}

/** Records kept; about 500 bytes each, a megabyte of the control's 64. */
export const JOURNAL_CAPACITY = 2000;

/** Longest text that an entry keeps of one field, in characters. */
const MAX_TEXT = 200;

const BASE_FIELDS: ReadonlySet<string> = new Set(['at', 'by', 'id', 'kind', 'v']);

/** Bounded journal of applied records and their verdicts, in log order. */
export class Journal {
  #entries: JournalEntry[] = [];
  readonly #verdicts = new Map<string, JournalEntry>();

  constructor(private readonly capacity = JOURNAL_CAPACITY) {}

  /** Offset of the oldest record kept, or undefined when there is none. */
  get oldest(): number | undefined {
    return this.#entries[0]?.offset;
  }

  /** Adds a record that the fold has judged. */
  add(entry: LogEntry, verdict: FleetApplyResult, state: FleetState): JournalEntry {
    const record = fleetRecordSchema.safeParse(entry.value);
    const added = record.success
      ? fromRecord(entry.offset, record.data, verdict, state)
      : unreadable(entry.offset, verdict);
    this.#entries.push(added);
    // A repeat of a record doesn't change what the fold said about its first copy.
    if (record.success && added.reason !== 'duplicate-id') {
      this.#verdicts.set(added.id, added);
    }
    if (this.#entries.length > 2 * this.capacity) {
      this.#trim();
    }
    return added;
  }

  /** First entry of a record id. */
  find(recordId: string): JournalEntry | undefined {
    return this.#verdicts.get(recordId);
  }

  /** Entries about one thing, in log order. */
  about(subject: JournalSubject): JournalEntry[] {
    return this.#entries.filter((entry) => entry.data[subject.field] === subject.name);
  }

  /** Entries about a pool: its settings' team and the VMs in it, or on their way into it. */
  aboutPool(pool: string, team: string | undefined): JournalEntry[] {
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
      if (this.#verdicts.get(entry.id) === entry) {
        this.#verdicts.delete(entry.id);
      }
    }
  }
}

function fromRecord(
  offset: number,
  record: FleetRecord,
  verdict: FleetApplyResult,
  state: FleetState,
): JournalEntry {
  const vm = 'vm' in record ? state.vms.get(record.vm) : undefined;
  return {
    accepted: verdict.isOk(),
    at: record.at,
    by: record.by,
    data: singleValues(record),
    detail: verdict.isErr() ? verdict.error.detail : '',
    id: record.id,
    kind: record.kind,
    offset,
    pool: vm?.pool ?? '',
    reason: verdict.isErr() ? verdict.error.reason : '',
  };
}

function unreadable(offset: number, verdict: FleetApplyResult): JournalEntry {
  return {
    accepted: false,
    at: 0,
    by: '',
    data: {},
    detail: verdict.isErr() ? verdict.error.detail.slice(0, MAX_TEXT) : '',
    id: '',
    kind: 'unreadable',
    offset,
    pool: '',
    reason: verdict.isErr() ? verdict.error.reason : '',
  };
}

function singleValues(record: FleetRecord): JournalEntry['data'] {
  const data: JournalEntry['data'] = {};
  for (const [field, value] of Object.entries<unknown>(record)) {
    if (BASE_FIELDS.has(field)) {
      continue;
    }
    if (typeof value === 'string') {
      data[field] = value.slice(0, MAX_TEXT);
    } else if (typeof value === 'number' || typeof value === 'boolean') {
      data[field] = value;
    }
  }
  return data;
}
