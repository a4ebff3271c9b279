import type { BatchAppender } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { Server } from 'node:http';
import { closeServer } from '@sequoiaquay/runtime';
import type { RequestDispatcher } from './dispatcher';
import type { WorkReplica } from './work-replica';

/** Longest wait for the log at the end, in ms; the log may be down for hours. */
const FLUSH_LIMIT_MS = 10_000;

/** Period at which the end of the last request and record is looked for, in ms. */
const CHECK_MS = 20;

/** Ends an entry process without cutting off a request or losing a record. */
export class GracefulStop {
  // The process ends when this is done: nothing may interrupt it.
  readonly #never = new AbortController().signal;

  constructor(
    private readonly dispatcher: RequestDispatcher,
    private readonly work: WorkReplica,
    private readonly appenders: readonly BatchAppender[],
    private readonly timers: TimerService,
    private readonly leave: () => void,
  ) {}

  /**
   * Refuses new requests for a while, so that the load balancer sees it before connections are refused,
   * waits for the running ones, and then for their records to be in the log.
   */
  async drain(server: Server, graceMs: number): Promise<void> {
    await this.timers.sleep(graceMs, this.#never);
    await closeServer(server);
    while (this.dispatcher.active > 0) {
      await this.timers.sleep(CHECK_MS, this.#never);
    }
    const limit = AbortSignal.timeout(FLUSH_LIMIT_MS);
    await this.#flush(limit);
    // Claims whose requests were refused while their append was under way are closed when the fold shows them.
    await this.work.whenReadToEnd(limit);
    await this.#flush(limit);
    // Only after the outcomes: repeats take the claims of a member that is gone to be lost.
    if (this.#pending() === 0) {
      this.leave();
      await this.#flush(limit);
    }
  }

  #pending(): number {
    return this.appenders.reduce((sum, appender) => sum + appender.pending, 0);
  }

  async #flush(limit: AbortSignal): Promise<void> {
    while (this.#pending() > 0 && !limit.aborted) {
      await this.timers.sleep(CHECK_MS, limit);
    }
  }
}
