import type { FleetRecord, FleetRefusal, FleetState } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';
import { setTimeout as delay } from 'node:timers/promises';
import type { Cluster } from './cluster';

const POLL_MS = 40;

/** Time without a record after which the stream is taken to be at rest; longer than a reboot in the tests. */
const QUIET_MS = 1500;

interface StoredRecord {
  offset: number;
  value: unknown;
}

/** Called after each replayed record with the state reached. */
export type ReplayStep = (
  state: FleetState,
  offset: number,
  value: unknown,
  verdict: Result<FleetRecord, FleetRefusal>,
) => void;

/** Copies the `fleet` stream from the platform stand-in, also what is trimmed there later. */
export class LogRecorder {
  readonly records: StoredRecord[] = [];
  #running: Promise<void> | undefined;
  readonly #stop = new AbortController();

  constructor(private readonly cluster: Cluster) {}

  /** Records in the background until `finish`. */
  start(): void {
    this.#running = this.#run();
  }

  /** Ends recording when no record has come for a while, so that every control can reach the last one. */
  async finish(): Promise<void> {
    this.#stop.abort();
    await this.#running;
    let before = -1;
    while (before < this.records.length) {
      before = this.records.length;
      await delay(QUIET_MS);
      await this.#copy();
    }
  }

  /** Folds the whole stream from its first record, each record changed by `change` first. */
  replay(
    step: ReplayStep = () => undefined,
    change: (value: unknown) => unknown = (value) => value,
  ): FleetState {
    const state = emptyFleetState();
    for (const { offset, value: stored } of this.records) {
      const value = change(stored);
      const verdict = applyFleetRecord(state, offset, value);
      step(state, offset, value, verdict);
    }
    return state;
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#copy();
      await delay(POLL_MS);
    }
  }

  async #copy(): Promise<void> {
    const stored = await this.cluster.admin<{ records: StoredRecord[] }>('GET', '/streams/fleet');
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
