import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type {
  AppendCall,
  KeyedStream,
  NewestPage,
  ReadCall,
  StoredRecord,
  StoreError,
  StreamPage,
} from '../../src/ports/keyed-stream';

/** How the stream treats an append. */
export type AppendFault = 'lost-after' | 'lost-before' | 'none' | 'refused';

/** A stream in memory whose appends can fail in the ways in which the store's can. */
export class MemoryStream implements KeyedStream {
  /** Faults of the next appends, in order; none after them. */
  faults: AppendFault[] = [];
  /** Offset of the first record that is kept. */
  first = 0;
  /** Runs after a page of newest records was made up. */
  onPage: (page: NewestPage) => void = () => undefined;
  /** Most records in a page of newest records. */
  pageSize = Infinity;
  readonly records: StoredRecord[] = [];

  append(call: AppendCall): ResultAsync<number, StoreError> {
    const fault = this.faults.shift() ?? 'none';
    if (fault === 'refused') {
      return errAsync({ kind: 'refused', message: 'busy', offset: undefined });
    }
    if (fault === 'lost-before') {
      return errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    }
    const offset = this.records.length;
    if (call.expectedEnd !== undefined && call.expectedEnd !== offset) {
      return errAsync({ kind: 'conflict', message: 'another end', offset });
    }
    call.records.forEach((record, index) => this.records.push({ ...record, offset: offset + index }));
    return fault === 'lost-after'
      ? errAsync({ kind: 'lost', message: 'no answer', offset: undefined })
      : okAsync(offset);
  }

  newest(afterKey: string | undefined): ResultAsync<NewestPage, StoreError> {
    const newest = new Map(this.records.map((record) => [record.key, record]));
    const records = [...newest.values()]
      .filter((record) => record.value !== undefined && record.key > (afterKey ?? ''))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = {
      end: this.records.length,
      hasMore: records.length > this.pageSize,
      records: records.slice(0, this.pageSize),
    };
    this.onPage(page);
    return okAsync(page);
  }

  read(call: ReadCall): ResultAsync<StreamPage, StoreError> {
    if (call.from < this.first) {
      return errAsync({ kind: 'trimmed', message: 'dropped', offset: this.first });
    }
    return okAsync({ end: this.records.length, records: this.records.slice(call.from) });
  }
}
