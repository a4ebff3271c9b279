import type { WaveReport } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';
import { errAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { AppendRequest, StoreError } from '../src/ports/keyed-stream';
import { WaveReporter } from '../src/wave-reporter';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';
import { VirtualTimers } from './support/virtual-timers';

/** Stream that holds appends for as long as it is told to: they get no answer, and may be carried out later. */
class LateStream extends MemoryStream {
  readonly held: AppendRequest[] = [];
  isHolding = false;

  override append(req: AppendRequest): ResultAsync<number, StoreError> {
    if (this.isHolding) {
      this.held.push(req);
      return errAsync({ kind: 'lost', message: 'no answer', offset: undefined });
    }
    return super.append(req);
  }

  carryOutHeld(): void {
    this.isHolding = false;
    for (const req of this.held) {
      void super.append(req);
    }
  }

  /** State of each wave that operators see. */
  get states(): Record<string, string | undefined> {
    return Object.fromEntries(this.records.map(({ key, value }) => [key, value]));
  }
}

const STORED = Promise.resolve(true);

/** Reporters of one leader after another on one stream. */
class Harness {
  isLeader = true;
  readonly reporter: WaveReporter;
  readonly #timers = new VirtualTimers();

  constructor(readonly status: LateStream) {
    const ctx = {
      encodeReport: ({ state, wave }: WaveReport) => ({ key: `wave/${wave}`, value: state }),
      isLeadershipConfirmed: () => this.isLeader,
      log: quietLog,
      status,
      timers: this.#timers,
    };
    this.reporter = new WaveReporter(ctx, new AbortController().signal);
  }

  async passTime(ms: number): Promise<void> {
    await this.#timers.advance(ms);
  }
}

// Guards against a wave that is shown as running for ever after it was completed.
describe('WaveReporter', () => {
  it('publishes no state of a wave after a newer one, also when the older one is carried out late', async () => {
    const status = new LateStream();
    status.isHolding = true;
    const harness = new Harness(status);
    harness.reporter.publish({ state: 'running', wave: 1 }, STORED);
    await harness.passTime(1000);
    expect(status.held).not.toEqual([]);
    status.isHolding = false;
    harness.reporter.publish({ state: 'completed', wave: 1 }, STORED);
    await harness.passTime(1000);
    expect(status.states).toEqual({ 'wave/1': 'completed' });
    status.carryOutHeld();
    expect(status.states).toEqual({ 'wave/1': 'completed' });
  });

  it('publishes a state that was refused at first before the newer one', async () => {
    const status = new LateStream();
    status.faults = ['refused', 'refused'];
    const harness = new Harness(status);
    harness.reporter.publish({ state: 'running', wave: 1 }, STORED);
    harness.reporter.publish({ state: 'completed', wave: 1 }, STORED);
    await harness.passTime(1000);
    expect(status.records.map(({ value }) => value)).toEqual(['running', 'completed']);
  });

  it('publishes nothing over the reports of the next leader', async () => {
    const status = new LateStream();
    const earlier = new Harness(status);
    earlier.reporter.publish({ state: 'running', wave: 2 }, STORED);
    await earlier.passTime(1000);
    status.isHolding = true;
    earlier.reporter.publish({ state: 'running', wave: 1 }, STORED);
    await earlier.passTime(300);
    status.isHolding = false;
    earlier.isLeader = false;
    const later = new Harness(status);
    later.reporter.publish({ state: 'completed', wave: 1 }, STORED);
    await later.passTime(1000);
    await earlier.passTime(5000);
    status.carryOutHeld();
    expect(status.states).toEqual({ 'wave/1': 'completed', 'wave/2': 'running' });
  });

  it('goes on after a report that can not be stored, or whose records are not', async () => {
    const status = new LateStream();
    status.maxAppendBytes = 20;
    const harness = new Harness(status);
    harness.reporter.publish({ state: 'running', wave: 1_000_000_000_000_000 }, STORED);
    harness.reporter.publish({ state: 'running', wave: 2 }, Promise.resolve(false));
    harness.reporter.publish({ state: 'running', wave: 3 }, STORED);
    await harness.passTime(1000);
    expect(status.states).toEqual({ 'wave/3': 'running' });
  });
});
