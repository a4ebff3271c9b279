import type { FleetRecord, FleetRefusal, FleetState } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';
import { setTimeout as delay } from 'node:timers/promises';
import type { Cluster } from './cluster';

const POLL_INTERVAL_MS = 40;

/** Time without new records after which the stream is considered idle; longer than a reboot in the tests. */
const IDLE_MS = 1500;

interface StoredRecord {
  offset: number;
  value: unknown;
}

/** Called after each replayed record with the resulting state and the result of applying the record. */
export type ReplayCallback = (
  state: FleetState,
  offset: number,
  value: unknown,
  result: Result<FleetRecord, FleetRefusal>,
) => void;

/** Copies the `fleet` stream from the platform stand-in, so that records trimmed later stay available. */
export class LogRecorder {
  readonly records: StoredRecord[] = [];
  #polling: Promise<void> | undefined;
  readonly #stop = new AbortController();

  constructor(private readonly cluster: Cluster) {}

  /** Starts to copy new records in the background, until `finish` is called. */
  start(): void {
    this.#polling = this.#poll();
  }

  /** Stops recording once the stream is idle, so that every control can apply the last record. */
  async finish(): Promise<void> {
    this.#stop.abort();
    await this.#polling;
    let before = -1;
    while (before < this.records.length) {
      before = this.records.length;
      await delay(IDLE_MS);
      await this.#copyNewRecords();
    }
  }

  /**
   * Applies the recorded stream from its first record to an empty state and returns the final state.
   *
   * @param onRecord Called after each record.
   * @param transform Applied to each record before it is replayed.
   */
  replay(
    onRecord: ReplayCallback = () => undefined,
    transform: (value: unknown) => unknown = (value) => value,
  ): FleetState {
    const state = emptyFleetState();
    for (const { offset, value: stored } of this.records) {
      const value = transform(stored);
      const result = applyFleetRecord(state, offset, value);
      onRecord(state, offset, value, result);
    }
    return state;
  }

  async #poll(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#copyNewRecords();
      await delay(POLL_INTERVAL_MS);
    }
  }

  async #copyNewRecords(): Promise<void> {
    const stored = await this.cluster.callAdminApi<{ records: StoredRecord[] }>('GET', '/streams/fleet');
    for (const record of stored.records) {
      const expected = this.records.length;
      if (record.offset > expected) {
        throw new Error(`records from ${expected} to ${record.offset} were trimmed before they were copied`);
      }
      if (record.offset === expected) {
        this.records.push(record);
      }
    }
  }
}
