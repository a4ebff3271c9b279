import type { KeyedRecord } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import type { NodeMetrics } from './node-metrics';
import type {
  AppendRequest,
  KeyedStream,
  NewestPage,
  ReadRequest,
  StoreError,
  StreamPage,
} from './ports/keyed-stream';
import { contentBytes } from './record-bytes';

/** Stream that counts and times the calls to another stream. */
export class InstrumentedStream implements KeyedStream {
  constructor(
    private readonly stream: KeyedStream,
    private readonly name: string,
    private readonly metrics: NodeMetrics,
    private readonly timers: TimerService,
  ) {}

  append(req: AppendRequest): ResultAsync<number, StoreError> {
    return this.#recordCall('append', this.stream.append(req), () => req.records);
  }

  readNewestPage(
    afterKey: string | undefined,
    timeoutMs: number,
    signal: AbortSignal,
  ): ResultAsync<NewestPage, StoreError> {
    return this.#recordCall(
      'newest',
      this.stream.readNewestPage(afterKey, timeoutMs, signal),
      (page) => page.records,
    );
  }

  read(req: ReadRequest): ResultAsync<StreamPage, StoreError> {
    return this.#recordCall('read', this.stream.read(req), (page) => page.records);
  }

  #recordCall<T>(
    call: string,
    result: ResultAsync<T, StoreError>,
    recordsOf: (value: T) => readonly KeyedRecord[],
  ): ResultAsync<T, StoreError> {
    const startedAt = this.timers.mono();
    const record = (outcome: string): void => {
      this.metrics.recordStoreCall(this.name, call, outcome, this.timers.mono() - startedAt);
    };
    return result
      .andTee((value) => {
        record('done');
        this.metrics.recordStoreBytes(this.name, call, contentBytes(recordsOf(value)));
      })
      .orTee((error) => {
        record(error.kind);
      });
  }
}
