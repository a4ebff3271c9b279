import type { TimerService } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import type { NodeMetrics } from './node-metrics';
import type {
  AppendCall,
  KeyedStream,
  NewestPage,
  ReadCall,
  StoreError,
  StreamPage,
} from './ports/keyed-stream';

/** A stream whose calls are counted and timed. */
export class MeasuredStream implements KeyedStream {
  constructor(
    private readonly stream: KeyedStream,
    private readonly name: string,
    private readonly metrics: NodeMetrics,
    private readonly timers: TimerService,
  ) {}

  append(call: AppendCall): ResultAsync<number, StoreError> {
    return this.#measure('append', this.stream.append(call));
  }

  newest(
    afterKey: string | undefined,
    limitMs: number,
    signal: AbortSignal,
  ): ResultAsync<NewestPage, StoreError> {
    return this.#measure('newest', this.stream.newest(afterKey, limitMs, signal));
  }

  read(call: ReadCall): ResultAsync<StreamPage, StoreError> {
    return this.#measure('read', this.stream.read(call));
  }

  #measure<T>(call: string, result: ResultAsync<T, StoreError>): ResultAsync<T, StoreError> {
    const startedAt = this.timers.mono();
    const note = (outcome: string): void => {
      this.metrics.onStoreCall(this.name, call, outcome, this.timers.mono() - startedAt);
    };
    return result
      .andTee(() => {
        note('done');
      })
      .orTee((error) => {
        note(error.kind);
      });
  }
}
