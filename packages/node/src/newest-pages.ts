import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Result } from 'neverthrow';
import type { KeyedStream, NewestPage, StoreError } from './ports/keyed-stream';
import { contentBytes } from './record-bytes';

/**
 * Reads the newest record of each key of a stream, page by page. A page that failed is read again from the
 * last key that was read. Logs the progress at the first, second, fourth, eighth page and so on.
 */
export class NewestPages {
  #afterKey: string | undefined;
  #bytes = 0;
  #failures = 0;
  #failuresInRow = 0;
  #hasMore = true;
  #keys = 0;
  #pages = 0;
  readonly #startedAt: number;

  constructor(
    private readonly stream: KeyedStream,
    private readonly name: string,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {
    this.#startedAt = timers.mono();
  }

  /** Number of times that the next page has failed since the last page was read. */
  get failuresInRow(): number {
    return this.#failuresInRow;
  }

  /** Whether there may be pages that were not read. */
  get hasMore(): boolean {
    return this.#hasMore;
  }

  /** Progress for log records; `bytes` counts keys and values, `ms` is the time since the first call. */
  get progress(): { bytes: number; failures: number; keys: number; ms: number; pages: number } {
    return {
      bytes: this.#bytes,
      failures: this.#failures,
      keys: this.#keys,
      ms: Math.round(this.timers.mono() - this.#startedAt),
      pages: this.#pages,
    };
  }

  /** Reads the next page, or again the one that failed; `timeoutMs` is the timeout of the call, in ms. */
  async readNext(timeoutMs: number, signal: AbortSignal): Promise<Result<NewestPage, StoreError>> {
    const startedAt = this.timers.mono();
    const page = await this.stream.readNewestPage(this.#afterKey, timeoutMs, signal);
    const pageMs = Math.round(this.timers.mono() - startedAt);
    return page
      .map((value) => {
        this.#onPage(value, pageMs);
        return value;
      })
      .mapErr((error) => {
        this.#onFailure(error, pageMs);
        return error;
      });
  }

  #onPage(page: NewestPage, pageMs: number): void {
    const lastKey = page.records.at(-1)?.key;
    // A key that is not valid text can't be named to continue after it, and the store returns the same page again.
    const isRepeated = lastKey !== undefined && lastKey === this.#afterKey;
    if (isRepeated) {
      this.log.error({ ...this.progress, key: lastKey, stream: this.name }, 'page repeated, load ends there');
    }
    this.#afterKey = lastKey;
    this.#hasMore = page.hasMore && lastKey !== undefined && !isRepeated;
    this.#bytes += contentBytes(page.records);
    this.#failuresInRow = 0;
    this.#keys += page.records.length;
    this.#pages += 1;
    if (isPowerOfTwo(this.#pages)) {
      this.log.info({ ...this.progress, pageMs, stream: this.name }, 'page loaded');
    }
  }

  #onFailure(error: StoreError, pageMs: number): void {
    this.#failures += 1;
    this.#failuresInRow += 1;
    if (isPowerOfTwo(this.#failures)) {
      const { message } = error;
      this.log.warn({ ...this.progress, error: message, pageMs, stream: this.name }, 'page not loaded');
    }
  }
}

function isPowerOfTwo(count: number): boolean {
  return Number.isInteger(Math.log2(count));
}
