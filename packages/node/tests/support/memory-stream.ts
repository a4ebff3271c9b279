import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type {
  AppendRequest,
  KeyedStream,
  NewestPage,
  ReadRequest,
  StoredRecord,
  StoreError,
  StreamPage,
} from '../../src/ports/keyed-stream';
import { contentBytes } from '../../src/record-bytes';

/** Fault of an append: its answer is lost after or before it is carried out, or it is refused. */
export type AppendFault = 'lost-after' | 'lost-before' | 'none' | 'refused';

/** In-memory stream with injectable faults for appends, pages of newest records and dropped records. */
export class MemoryStream implements KeyedStream {
  /** Appends that were requested, in order. */
  readonly appends: AppendRequest[] = [];
  /** Faults of the next appends, in order; later appends succeed. */
  faults: AppendFault[] = [];
  /** Offset of the first retained record. */
  first = 0;
  /** Whether the next pages of newest records get no answer, in order; later pages are returned. */
  newestFaults: boolean[] = [];
  /** Most bytes of keys and values that an append may have; a larger one is rejected for good. */
  maxAppendBytes = Infinity;
  /** Keys after which pages of newest records were requested, in order. */
  readonly newestRequests: (string | undefined)[] = [];
  /** Called with each page of newest records before it is returned. */
  onPage: (page: NewestPage) => void = () => undefined;
  /** Size of a page of newest records. */
  pageSize = Infinity;
  /** Most records that a read returns. */
  readSize = Infinity;
  readonly records: StoredRecord[] = [];

  append(req: AppendRequest): ResultAsync<number, StoreError> {
    this.appends.push(req);
    const fault = this.faults.shift() ?? 'none';
    if (fault === 'refused') {
      return errAsync({ kind: 'refused', message: 'busy', offset: undefined });
    }
    if (fault === 'lost-before') {
      return errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    }
    if (contentBytes(req.records) > this.maxAppendBytes) {
      return errAsync({ kind: 'rejected', message: 'too large', offset: undefined });
    }
    const offset = this.records.length;
    if (req.expectedEnd !== undefined && req.expectedEnd !== offset) {
      return errAsync({ kind: 'conflict', message: 'another end', offset });
    }
    req.records.forEach((record, index) => this.records.push({ ...record, offset: offset + index }));
    return fault === 'lost-after'
      ? errAsync({ kind: 'lost', message: 'no answer', offset: undefined })
      : okAsync(offset);
  }

  readNewestPage(afterKey: string | undefined): ResultAsync<NewestPage, StoreError> {
    this.newestRequests.push(afterKey);
    if (this.newestFaults.shift() === true) {
      return errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    }
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

  read(req: ReadRequest): ResultAsync<StreamPage, StoreError> {
    if (req.fromOffset < this.first) {
      return errAsync({ kind: 'trimmed', message: 'dropped', offset: this.first });
    }
    const records = this.records.slice(req.fromOffset).slice(0, this.readSize);
    return okAsync({ end: this.records.length, records });
  }
}
