import type { BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Server } from 'node:http';
import { closeServer } from '@sequoiaquay/runtime';
import type { RequestDispatcher } from './dispatcher';
import type { WorkReplica } from './work-replica';

/** Maximum wait for the log at the end, in ms; the log may be unavailable for hours. */
const FLUSH_TIMEOUT_MS = 10_000;

/** Interval of the checks for running requests and pending records, in ms. */
const CHECK_INTERVAL_MS = 20;

/** Stops an entry process without interrupting requests or losing records. */
export class GracefulStop {
  // The process ends after the drain, so nothing may abort its waits.
  readonly #neverAborted = new AbortController().signal;

  constructor(
    private readonly dispatcher: RequestDispatcher,
    private readonly work: WorkReplica,
    private readonly appenders: readonly BatchAppender[],
    private readonly timers: TimerService,
    private readonly leaveMembership: () => void,
  ) {}

  /**
   * Refuses new requests for `graceMs`, so that the load balancer notices before connections are refused.
   * Then waits for the running requests and for their records to be appended to the log.
   */
  async drain(server: Server, graceMs: number): Promise<void> {
    await this.timers.sleep(graceMs, this.#neverAborted);
    await closeServer(server);
    while (this.dispatcher.activeCount > 0) {
      await this.timers.sleep(CHECK_INTERVAL_MS, this.#neverAborted);
    }
    const timeout = AbortSignal.timeout(FLUSH_TIMEOUT_MS);
    await this.#flush(timeout);
    // A claim whose request was refused during the append is released when the replica reads its record.
    await this.work.whenReadToEnd(timeout);
    await this.#flush(timeout);
    // Leaves only after all outcomes are stored: other entries treat claims of a departed member as lost.
    if (this.#countPending() === 0) {
      this.leaveMembership();
      await this.#flush(timeout);
    }
  }

  #countPending(): number {
    return this.appenders.reduce((sum, appender) => sum + appender.pending, 0);
  }

  async #flush(timeout: AbortSignal): Promise<void> {
    while (this.#countPending() > 0 && !timeout.aborted) {
      await this.timers.sleep(CHECK_INTERVAL_MS, timeout);
    }
  }
}
