import type { WaveReport } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { KeyedStream } from './ports/keyed-stream';
import { STORE_FAILURE } from './ports/keyed-stream';

/** Dependencies of the reporter on its term. */
export interface WaveReporterContext {
  /** Encodes the report of a wave's progress to the operators. */
  encodeReport: (report: WaveReport) => { key: string; value: string };
  /** Returns whether this node is certainly still the leader. */
  isLeadershipConfirmed: () => boolean;
  log: Logger;
  status: KeyedStream;
  timers: TimerService;
}

/** Timeout of a report to the operators, in ms. */
const REPORT_TIMEOUT_MS = 1500;

/** Delay before a failed report is retried, in ms. */
const RETRY_DELAY_MS = 200;

/**
 * Reports the states of waves to the operators, one after another. Each report is written at the end of the stream that
 * is known, so that an older one without an answer, also of an earlier leader, can't be carried out after a newer one.
 */
export class WaveReporter {
  /** End of the stream, as far as known. */
  #end = 0;
  #turn = Promise.resolve();

  constructor(
    private readonly ctx: WaveReporterContext,
    private readonly signal: AbortSignal,
  ) {}

  /** Publishes a report after those before it, and only once the records that it follows from are stored. */
  publish(report: WaveReport, areRecordsStored: Promise<boolean>): void {
    const { log } = this.ctx;
    this.#turn = this.#turn.then(async () => {
      if ((await areRecordsStored) && !(await this.#append(report))) {
        log.error({ wave: report.wave }, 'report of a wave was rejected');
      }
    });
  }

  // Returns false if the report can't be stored at all.
  async #append(report: WaveReport): Promise<boolean> {
    const records = [this.ctx.encodeReport(report)];
    while (!this.signal.aborted) {
      if (!this.ctx.isLeadershipConfirmed()) {
        await this.ctx.timers.sleep(RETRY_DELAY_MS, this.signal);
        continue;
      }
      const appended = await this.ctx.status.append({
        expectedEnd: this.#end,
        records,
        signal: this.signal,
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      if (appended.isOk()) {
        this.#end = appended.value + records.length;
        return true;
      }
      const { kind, offset } = appended.error;
      if (kind === STORE_FAILURE.rejected) {
        return false;
      }
      if (kind === STORE_FAILURE.conflict && offset !== undefined && offset !== this.#end) {
        this.#end = offset;
      } else {
        await this.ctx.timers.sleep(RETRY_DELAY_MS, this.signal);
      }
    }
    return true;
  }
}
