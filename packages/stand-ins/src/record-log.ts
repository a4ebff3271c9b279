/** Record of a keyed topic; an empty value removes its key. */
export interface LogRecord {
  key: string;
  value: Buffer;
}

/** Newest record of a key, with its offset. */
export interface NewestRecord extends LogRecord {
  offset: number;
}

/** Page of the newest records, in the order of their keys. */
export interface NewestRecordPage {
  hasMore: boolean;
  records: NewestRecord[];
}

interface RetainedRecord extends LogRecord {
  storedAt: number;
}

const LENGTH_PREFIX_BYTES = 4;

/** Most records, and most bytes of encoded keys and values, of a page of newest records. */
const MAX_PAGE_RECORDS = 500;
const MAX_PAGE_BYTES = 1_000_000;

/** In-memory topic with one partition: a history of bounded age, and the newest record of each key. */
export class RecordLog {
  #first = 0;
  readonly #newestByKey = new Map<string, NewestRecord>();
  #records: RetainedRecord[] = [];
  #sortedKeys: string[] | undefined;

  /** `historyMs` is the age in ms above which records are dropped from the history. */
  constructor(private readonly historyMs: number) {}

  /** Offset that the next record gets. */
  get end(): number {
    return this.#first + this.#records.length;
  }

  /** Offset of the oldest retained record at a time in ms; equals `end` if none is retained. */
  firstAt(now: number): number {
    const kept = this.#records.findIndex((record) => record.storedAt + this.historyMs > now);
    const dropped = kept < 0 ? this.#records.length : kept;
    if (dropped > 0) {
      this.#records = this.#records.slice(dropped);
      this.#first += dropped;
    }
    return this.#first;
  }

  /** Appends records at a time in ms and returns the offset of the first. */
  append(records: readonly LogRecord[], now: number): number {
    const offset = this.end;
    for (const record of records) {
      if (record.value.length === 0) {
        this.#newestByKey.delete(record.key);
      } else {
        this.#newestByKey.set(record.key, { ...record, offset: this.end });
      }
      this.#records.push({ ...record, storedAt: now });
    }
    this.#sortedKeys = undefined;
    return offset;
  }

  /** Returns encoded records from a retained offset on: at most `maxBytes`, so none if the first is larger. */
  read(from: number, maxBytes: number): Buffer {
    const encoded: Buffer[] = [];
    let bytes = 0;
    for (let index = from - this.#first; index < this.#records.length; index += 1) {
      const record = encodeLogRecord(this.#records[index] as LogRecord);
      bytes += record.length;
      if (bytes > maxBytes) {
        break;
      }
      encoded.push(record);
    }
    return Buffer.concat(encoded);
  }

  /** Returns the page of newest records that begins after a key, or the first page. */
  readNewestPage(afterKey: string | undefined): NewestRecordPage {
    this.#sortedKeys ??= [...this.#newestByKey.keys()].sort();
    const keys = this.#sortedKeys;
    const start = afterKey === undefined ? 0 : findFirstAfter(keys, afterKey);
    const records: NewestRecord[] = [];
    let bytes = 0;
    for (const key of keys.slice(start, start + MAX_PAGE_RECORDS)) {
      const record = this.#newestByKey.get(key);
      if (record === undefined) {
        continue;
      }
      bytes += key.length + encodedLength(record.value);
      if (records.length > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      records.push(record);
    }
    return { hasMore: start + records.length < keys.length, records };
  }
}

/** Decodes the records of an append; each has a length, the length of its key in one byte, key and value. */
export function decodeLogRecords(body: Buffer): LogRecord[] {
  const records: LogRecord[] = [];
  let position = 0;
  while (position + LENGTH_PREFIX_BYTES <= body.length) {
    const start = position + LENGTH_PREFIX_BYTES;
    const end = start + body.readUInt32BE(position);
    const keyEnd = start + 1 + body.readUInt8(start);
    records.push({ key: body.toString('utf8', start + 1, keyEnd), value: body.subarray(keyEnd, end) });
    position = end;
  }
  return records;
}

function encodeLogRecord(record: LogRecord): Buffer {
  const key = Buffer.from(record.key);
  const header = Buffer.alloc(LENGTH_PREFIX_BYTES + 1);
  header.writeUInt32BE(1 + key.length + record.value.length, 0);
  header.writeUInt8(key.length, LENGTH_PREFIX_BYTES);
  return Buffer.concat([header, key, record.value]);
}

// Values are sent in base64.
function encodedLength(value: Buffer): number {
  return Math.ceil(value.length / 3) * 4;
}

function findFirstAfter(sortedKeys: readonly string[], key: string): number {
  let low = 0;
  let high = sortedKeys.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((sortedKeys[middle] ?? '') <= key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
