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

/** Stream that counts and times the calls to another stream. */
export class InstrumentedStream implements KeyedStream {
  constructor(
    private readonly stream: KeyedStream,
    private readonly name: string,
    private readonly metrics: NodeMetrics,
    private readonly timers: TimerService,
  ) {}

  append(req: AppendRequest): ResultAsync<number, StoreError> {
    return this.#recordCall('append', this.stream.append(req));
  }

  readNewestPage(
    afterKey: string | undefined,
    timeoutMs: number,
    signal: AbortSignal,
  ): ResultAsync<NewestPage, StoreError> {
    return this.#recordCall('newest', this.stream.readNewestPage(afterKey, timeoutMs, signal));
  }

  read(req: ReadRequest): ResultAsync<StreamPage, StoreError> {
    return this.#recordCall('read', this.stream.read(req));
  }

  #recordCall<T>(call: string, result: ResultAsync<T, StoreError>): ResultAsync<T, StoreError> {
    const startedAt = this.timers.mono();
    const record = (outcome: string): void => {
      this.metrics.recordStoreCall(this.name, call, outcome, this.timers.mono() - startedAt);
    };
    return result
      .andTee(() => {
        record('done');
      })
      .orTee((error) => {
        record(error.kind);
      });
  }
}
