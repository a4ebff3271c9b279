import type { SuspicionFilter } from './crash-suspicions';
import type { RunControl } from './run-control';
import type { SchedulerContext } from './scheduler-context';
import type { Task } from './task';
import type { Worker, WorkerInfo } from './worker';
import { CrashSuspicions, provesEnd } from './crash-suspicions';
import { DECISION } from './scheduler-output';
import { awaitsProof, findCrash, isStartingTasks } from './worker-crash';

/** Time for which a closed connection is remembered, in ms: longer than the leases of runs. */
const DISCONNECTION_MEMORY_MS = 15_000;

/** Most tasks that the log line about a crash names. */
const MAX_LOGGED_SUSPECTS = 20;

/** Time after which a worker whose entry has not come back counts as ended where a task awaits proof, in ms. */
const GONE_AFTER_MS = 10_000;

/** Proofs that the process of a worker has ended, as they appear in the log. */
const PROOF = {
  /** A later incarnation, or another worker at the address, is registered. */
  entry: 'entry',
  /** Its entry has not come back. */
  gone: 'gone',
  /** Another worker answers at its address. */
  replaced: 'replaced',
  /** Another incarnation runs under its id. */
  restarted: 'restarted',
} as const;

/** Releases the runs of workers that are lost, and finds the tasks that crash them. */
export class WorkerLossHandler {
  #disconnected: Worker[] = [];
  readonly #suspicions = new CrashSuspicions();

  constructor(
    private readonly ctx: SchedulerContext,
    private readonly runControl: RunControl,
  ) {}

  /**
   * Handles a call that found the connection to a worker closed or refused. A connection that is only reset can be
   * opened again, so a crash is suspected from the second such call on. It is stored at once: the next leader could
   * not tell which runs had just been started.
   */
  handleDisconnection(worker: Worker, now: number): void {
    if (worker.disconnection === undefined) {
      this.#remember(worker, now);
      return;
    }
    for (const task of this.#suspect(worker, now)) {
      this.runControl.storeTask(task);
    }
  }

  /** Handles a report that the known incarnation of a worker gave to a request at the monotonic time `askedAt`, in ms. */
  handleReport(worker: Worker, askedAt: number): void {
    worker.disconnection = undefined;
    worker.isCrashRecorded = false;
    const { bornAt, id } = worker.info;
    const cleared = this.#suspicions.withdraw(
      (item) => item.workerId === id && item.bornAt === bornAt && item.notedAt <= askedAt,
    );
    if (cleared.length > 0) {
      this.#log(DECISION.crashDisproved, cleared, { worker: id });
    }
    for (const task of cleared) {
      this.runControl.storeTask(task);
    }
  }

  /** Handles an entry in the registry, which may prove that a worker's process has ended, or that it goes on. */
  handleEntry(info: WorkerInfo, now: number): void {
    this.#confirm((item) => provesEnd(info, item), PROOF.entry, now);
    this.#suspicions.doubt(info, now);
  }

  /** Handles the suspicions of a task that earlier terms have stored. */
  restore(task: Task, now: number): void {
    this.#suspicions.track(task);
    if (task.suspicions.length > 0) {
      const infos = [...this.ctx.workers.values()].map(({ info }) => info);
      this.#confirm((item) => infos.some((info) => provesEnd(info, item)), PROOF.entry, now);
    }
  }

  /** Treats workers whose entries have not come back as ended for tasks that await proof. */
  releaseAwaitingProof(now: number): void {
    const isGone: SuspicionFilter = ({ notedAt, workerId }, task) =>
      awaitsProof(task) &&
      now - notedAt >= GONE_AFTER_MS &&
      this.ctx.workers.get(workerId)?.isDeregistered !== false;
    this.#confirm(isGone, PROOF.gone, now);
  }

  #remember(worker: Worker, now: number): void {
    worker.disconnection = { at: now, wasStarting: isStartingTasks(worker, now) };
    this.#disconnected = this.#disconnected.filter(
      ({ disconnection }) => now - (disconnection?.at ?? -Infinity) < DISCONNECTION_MEMORY_MS,
    );
    this.#disconnected.push(worker);
  }

  /**
   * Releases the runs whose lease has expired. One that another incarnation than the known one may have begun is kept for
   * the longest lease, unless the registry, which was current at a monotonic time in ms, shows that there is none.
   */
  releaseExpired(worker: Worker, now: number, registryCurrentAt: number): void {
    const mayReleaseAll =
      worker.isOnlyIncarnation(registryCurrentAt) ||
      now > worker.longestLeaseEndsAt(this.ctx.settings.maxLeaseMs);
    // A starting run is kept: if its order has not been sent yet, it has not extended the lease.
    const lost = [...worker.runs.values()].filter(
      (task) => task.phase !== 'starting' && (mayReleaseAll || task.isRestored || isProven(task, worker)),
    );
    const suspects = lost.length === 0 ? [] : this.#suspect(worker, now);
    this.#release(lost, 'lease-ended', now);
    for (const task of suspects) {
      this.runControl.storeTask(task);
    }
  }

  /** Releases the runs of a worker whose process has certainly ended and receives no more orders. */
  releaseAll(worker: Worker, reason: string, now: number): void {
    this.#suspect(worker, now);
    this.#release([...worker.runs.values()], reason, now);
    this.#confirmIncarnation(worker, PROOF.replaced, now);
  }

  /**
   * Releases the runs that the previous incarnation is known to have begun. The new one may have begun the others, also
   * before it was known: its reports decide about them. Those that `mayHaveRun` accepts are not suspected of the end of
   * the previous one.
   */
  releaseAfterRestart(worker: Worker, now: number, mayHaveRun: (task: Task) => boolean): void {
    const runs = [...worker.runs.values()];
    this.#suspect(worker, now, mayHaveRun);
    const lost = runs.filter((task) => isProven(task, worker));
    for (const task of runs) {
      if (!lost.includes(task)) {
        task.stopAcknowledgedAt = undefined;
        task.applyEvent('lose', now);
      }
    }
    this.#release(lost, 'worker-restarted', now);
    this.#confirmIncarnation(worker, PROOF.restarted, now);
  }

  #release(lost: readonly Task[], reason: string, now: number): void {
    for (const task of lost) {
      this.runControl.release(task, reason, now);
    }
  }

  // A crash is noted once: its runs may be released one after the other, and again by the next leader.
  #suspect(worker: Worker, now: number, isExcluded: (task: Task) => boolean = () => false): Task[] {
    const crash =
      worker.isCrashRecorded || worker.runs.size === 0 ? undefined : findCrash(worker, this.#disconnected);
    if (crash === undefined) {
      return [];
    }
    worker.isCrashRecorded = true;
    const { isAlone, isCertain } = crash;
    const { address, bornAt, id } = worker.info;
    const suspects = crash.suspects.filter((task) => {
      const suspicion = { address, bornAt, isAlone, isCertain, run: task.run, workerId: id };
      return !isExcluded(task) && this.#suspicions.add(task, suspicion, now);
    });
    const runs = worker.runs.size;
    this.#log(DECISION.crashSuspected, suspects, { alone: isAlone, certain: isCertain, runs, worker: id });
    return suspects;
  }

  #confirmIncarnation({ info: { bornAt, id } }: Worker, proof: string, now: number): void {
    this.#confirm((item) => item.workerId === id && item.bornAt === bornAt, proof, now);
  }

  #confirm(isProven: SuspicionFilter, proof: string, now: number): void {
    const proven = this.#suspicions.confirm(isProven);
    if (proven.length === 0) {
      return;
    }
    this.#log(DECISION.workerCrashed, proven, { proof });
    for (const task of proven) {
      this.runControl.storeTask(task);
      this.runControl.failIfExhausted(task, now);
    }
  }

  #log(
    decision: (typeof DECISION)['crashDisproved' | 'crashSuspected' | 'workerCrashed'],
    suspects: readonly Task[],
    data: Readonly<Record<string, unknown>>,
  ): void {
    this.ctx.log(decision, {
      ...data,
      suspectCount: suspects.length,
      suspects: suspects.slice(0, MAX_LOGGED_SUSPECTS).map((task) => task.name),
    });
  }
}

// Whether the known incarnation of the worker is known to have begun the run.
function isProven({ provenBornAt }: Task, { info }: Worker): boolean {
  return provenBornAt === info.bornAt;
}
