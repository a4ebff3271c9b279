import type { FleetRecord, FleetRefusal, FleetState } from '@sequoiaquay/core';
import type { Result } from 'neverthrow';
import { applyFleetRecord, emptyFleetState } from '@sequoiaquay/core';
import { setTimeout as delay } from 'node:timers/promises';
import type { Cluster } from './cluster';

const POLL_MS = 40;

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

  /** Ends recording after one last copy. */
  async finish(): Promise<void> {
    this.#stop.abort();
    await this.#running;
    await this.#copy();
  }

  /** Folds the whole stream from its first record. */
  replay(step: ReplayStep = () => undefined): FleetState {
    const state = emptyFleetState();
    for (const { offset, value } of this.records) {
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
