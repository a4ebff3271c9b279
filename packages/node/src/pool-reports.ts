import type { PoolUse, Scheduler, WorkspaceLoad } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';

/** Interval between log lines that say how much of each pool is in use, in ms. */
const USE_LOG_INTERVAL_MS = 10_000;

/** Interval between log lines about the tasks of a pool that wait although it has room, in ms. */
const WAITING_LOG_INTERVAL_MS = 1000;

/** Logs the use of the pools of a term, and the tasks that wait although their pool has room for them. */
export class PoolReports {
  #waitingByPool: ReadonlyMap<string, number> = new Map();

  constructor(
    private readonly scheduler: Scheduler,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Returns how much of the pools' capacity is reserved. */
  uses(): PoolUse[] {
    return this.scheduler.poolUses();
  }

  /** Returns the use, the maximum and the waiting tasks of the workspaces. */
  workspaceLoads(): WorkspaceLoad[] {
    return this.scheduler.workspaceLoads();
  }

  /** Returns the number of tasks by pool that waited although it had room for them, at the last check. */
  waitingWithRoom(): ReadonlyMap<string, number> {
    return this.#waitingByPool;
  }

  /** Logs until the signal aborts. */
  run(signal: AbortSignal): void {
    this.timers.every(
      USE_LOG_INTERVAL_MS,
      () => {
        for (const use of this.uses()) {
          this.log.info(use, 'pool-use');
        }
      },
      signal,
    );
    this.timers.every(
      WAITING_LOG_INTERVAL_MS,
      () => {
        this.#logWaiting();
      },
      signal,
    );
  }

  #logWaiting(): void {
    const reports = this.scheduler.waitingWithRoom(this.timers.mono());
    // Tasks that wait for the maximum of their workspace are no fault of the pool.
    const withRoom = reports.filter(({ atMaximum }) => atMaximum === undefined);
    this.#waitingByPool = new Map(withRoom.map(({ count, pool }) => [pool, count]));
    for (const report of reports) {
      this.log.info(report, 'task-waits');
    }
  }
}
