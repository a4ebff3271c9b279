import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { decodeTaskRecord, encodeTermRecord, StoredTasks, TERM_KEY } from '@sequoiaquay/core/jobs';
import { randomUUID } from 'node:crypto';
import type { KeyedStream, StoredRecord } from './ports/keyed-stream';
import { NewestPages } from './newest-pages';
import { readNewest } from './newest-records';
import { STORE_FAILURE } from './ports/keyed-stream';

/** State that earlier terms have stored in the stream of runs. */
export interface StoredTerms {
  /** Offset after the last record. */
  end: number;
  /** Records that are not about tasks. */
  otherRecords: KeyedRecord[];
  tasks: StoredTasks;
  /** Offset of the record that started the last term; -1 if there is none. */
  termOffset: number;
}

/** Reads the state of earlier terms from the stream of runs, and starts a term there. */
export class TermStore {
  constructor(
    /** Name of this node, and timeout of a call to the store, in ms. */
    private readonly settings: { node: string; storeTimeoutMs: number },
    private readonly runs: KeyedStream,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Reads the state of earlier terms; undefined if it can't be read, or has changed meanwhile. */
  async load(signal: AbortSignal): Promise<StoredTerms | undefined> {
    const pages = new NewestPages(this.runs, 'runs', this.timers, this.log);
    const loaded = { otherRecords: [], tasks: new StoredTasks(), termOffset: -1 };
    const onRecord = (record: StoredRecord): void => {
      this.#addRecord(record, loaded);
    };
    const newest = await readNewest(pages, onRecord, this.settings.storeTimeoutMs, this.timers, signal);
    // If the stream changed between two pages, the conditional append would fail.
    if (newest.isErr() || newest.value.hasChanged) {
      return undefined;
    }
    return { ...loaded, end: newest.value.end };
  }

  /** Appends the record that starts a term of this node at the end of the stream; returns whether it is stored there. */
  async appendTerm(end: number, signal: AbortSignal): Promise<boolean> {
    const record = encodeTermRecord(this.settings.node, randomUUID());
    const appended = await this.runs.append({
      expectedEnd: end,
      records: [record],
      signal,
      timeoutMs: this.settings.storeTimeoutMs,
    });
    if (appended.isOk()) {
      return true;
    }
    const { kind, message } = appended.error;
    if (kind === STORE_FAILURE.lost && (await this.#isRecordAt(end, record.value, signal))) {
      return true;
    }
    this.log.info({ end, error: message }, 'take-over failed');
    return false;
  }

  async #isRecordAt(offset: number, value: string | undefined, signal: AbortSignal): Promise<boolean> {
    const page = await this.runs.read({
      fromOffset: offset,
      signal,
      timeoutMs: this.settings.storeTimeoutMs,
      waitMs: 0,
    });
    return page.isOk() && page.value.end === offset + 1 && page.value.records[0]?.value === value;
  }

  #addRecord(record: StoredRecord, loaded: Omit<StoredTerms, 'end'>): void {
    if (record.key === TERM_KEY) {
      loaded.termOffset = record.offset;
      return;
    }
    const decoded = decodeTaskRecord(record.key, record.value ?? '');
    if (decoded.isErr()) {
      this.log.error({ error: decoded.error, key: record.key }, 'record skipped');
    } else if (decoded.value === undefined) {
      loaded.otherRecords.push(record);
    } else {
      loaded.tasks.add(decoded.value);
    }
  }
}
