import type { PoolState, WaitingJob } from './pool-state';
import type { Task } from './task';
import type { WorkspaceWeights } from './workspace-weights';
import { DEADLINE_STATUS, findReleaseTime } from './job-rank';
import { LONG_WAIT_MS, MAX_TURN_TASKS } from './waiting-turns';
import { WorkspaceShares } from './workspace-shares';

/** Turn of a job to have tasks assigned. */
export interface Turn {
  job: WaitingJob;
  /** Number of tasks that may still be assigned in the turn; gangs are assigned as a whole. */
  tasksLeft: number;
}

/** Number of deadline states after which the excess jobs that can be on time or late rank. */
const EXCESS_OFFSET = 2;

/**
 * Fraction of its part of the pool up to which a workspace has no lower turn than others. Beyond it the shares decide,
 * so that in a full pool they are even before the first workspace has all of its part.
 */
const FREE_PART = 0.5;

/** Number of classes of jobs with the same priority. */
const CLASS_COUNT = 5;

/** Waiting jobs of a workspace, by the time left. */
interface JobQueue {
  jobs: WaitingJob[];
  /** Index of the next job. */
  next: number;
  /** Dominant share beyond `FREE_PART` of the part of the pool to which its weight entitles it; 0 within. */
  overShare: number;
  workspace: string | undefined;
}

/** Jobs of the same priority. */
interface Band {
  /** Queues of its jobs by class and workspace. */
  classes: Map<string | undefined, JobQueue>[];
  /** Jobs that have waited long, the oldest first. */
  longWaiting: WaitingJob[];
}

/**
 * Order in which the jobs of several workspaces that wait in a pool have their tasks assigned: long-running jobs, then
 * the queues by priority; entitled jobs that can be on time, then late ones, excess jobs and missed jobs. Of those, the
 * jobs of workspaces well within their part of the pool come first, the one with the least time left before others; a
 * workspace's part is its weight divided by those of all that have waiting jobs. Then comes the workspace with the lowest
 * dominant share. A job that has waited long is the first of its priority once in a while, see `WaitingTurns`.
 */
export class FairTurns {
  readonly #bands: Band[];
  /** Queues of the class that is being assigned, the one whose turn is next last; undefined before its first turn. */
  #queues: JobQueue[] | undefined;
  readonly #shares: WorkspaceShares;
  readonly #taken = new Set<WaitingJob>();
  /** Sum of the weights of the workspaces with waiting jobs. */
  readonly #totalWeight: number;
  #turn: { isDue: boolean; job: WaitingJob; queue: JobQueue | undefined } | undefined;

  /** Returns the turns of ranked jobs; undefined if they are not of several workspaces, or no weights are known. */
  static from(
    jobs: readonly WaitingJob[],
    pool: PoolState,
    weights: WorkspaceWeights | undefined,
    wallNow: number,
  ): FairTurns | undefined {
    if (weights === undefined) {
      return undefined;
    }
    const workspaces = new Set(jobs.map(({ run }) => run.job.workspace));
    workspaces.delete(undefined);
    return workspaces.size < 2 ? undefined : new FairTurns(jobs, pool, weights, wallNow);
  }

  private constructor(
    jobs: readonly WaitingJob[],
    private readonly pool: PoolState,
    weights: WorkspaceWeights,
    private readonly wallNow: number,
  ) {
    this.#shares = new WorkspaceShares(pool, weights);
    const workspaces = new Set(jobs.map(({ run }) => run.job.workspace));
    this.#totalWeight = [...workspaces].reduce((sum, workspace) => sum + weights.weightOf(workspace), 0);
    this.#bands = this.#groupByBand(jobs);
  }

  /** Returns the next turn; undefined once all jobs have had theirs. */
  next(): Turn | undefined {
    for (let band = this.#bands[0]; band !== undefined; band = this.#bands[0]) {
      const turn = this.#nextLongWaiting(band) ?? this.#nextByShare(band);
      if (turn !== undefined) {
        return turn;
      }
      this.#bands.shift();
    }
    return undefined;
  }

  /** Records that a task was assigned; returns the dominant share of its workspace before. */
  onAssigned(task: Task): number {
    const share = this.#shares.shareOf(task.job.job.workspace);
    this.#shares.add(task);
    return share;
  }

  /** Ends the current turn, in which a number of tasks was assigned of those that waited before. */
  end(assigned: number, waiting: number): void {
    const turn = this.#turn;
    if (turn === undefined) {
      return;
    }
    const { isDue, job, queue } = turn;
    if (assigned > 0) {
      const size = job.steps.reduce((sum, { spec }) => sum + spec.count, 0);
      this.pool.waitingTurns.onAssigned(job.run, { assigned, size, waiting }, isDue);
      job.run.lastAssignedAt = this.wallNow;
    }
    const mayGoOn = assigned >= MAX_TURN_TASKS && assigned < waiting;
    if (!mayGoOn && !isDue) {
      this.#taken.add(job);
    }
    if (assigned > 0 && queue !== undefined) {
      this.#queues?.pop();
      this.#insert(queue);
    } else if (assigned > 0) {
      // The share of a workspace in the sorted queues may have changed.
      this.#queues = undefined;
    }
  }

  #groupByBand(jobs: readonly WaitingJob[]): Band[] {
    const bands = new Map<string, Band & { longRunning: boolean; priority: number }>();
    const bandOf = (longRunning: boolean, priority: number): Band => {
      const key = `${longRunning} ${priority}`;
      const known = bands.get(key);
      const band = known ?? {
        classes: Array.from({ length: CLASS_COUNT }, () => new Map<string | undefined, JobQueue>()),
        longRunning,
        longWaiting: [],
        priority,
      };
      bands.set(key, band);
      return band;
    };
    const lowest = jobs.reduce((max, { rank }) => Math.max(max, rank.priority), 0);
    for (const job of jobs) {
      const { longRunning, priority } = job.rank;
      if (this.#waitedMs(job) > LONG_WAIT_MS || this.pool.waitingTurns.isTurnOf(job.run)) {
        bandOf(longRunning, priority).longWaiting.push(job);
      }
      const band = bandOf(longRunning, job.run.isExcess ? lowest : priority);
      this.#enqueue(job, band.classes[classOf(job)]);
    }
    for (const band of bands.values()) {
      band.longWaiting.sort((a, b) => this.#waitedMs(b) - this.#waitedMs(a));
    }
    return [...bands.values()].sort(
      (a, b) => Number(b.longRunning) - Number(a.longRunning) || a.priority - b.priority,
    );
  }

  #enqueue(job: WaitingJob, queues: Map<string | undefined, JobQueue> | undefined): void {
    const { workspace } = job.run.job;
    const queue = queues?.get(workspace);
    if (queue === undefined) {
      queues?.set(workspace, { jobs: [job], next: 0, overShare: 0, workspace });
    } else {
      queue.jobs.push(job);
    }
  }

  #waitedMs({ run }: WaitingJob): number {
    return this.wallNow - Math.max(run.lastAssignedAt, findReleaseTime(run));
  }

  #nextLongWaiting({ longWaiting }: Band): Turn | undefined {
    const job = longWaiting.length === 0 ? undefined : this.pool.waitingTurns.choose(longWaiting);
    if (job === undefined) {
      return undefined;
    }
    longWaiting.splice(longWaiting.indexOf(job), 1);
    this.#turn = { isDue: true, job, queue: undefined };
    return { job, tasksLeft: MAX_TURN_TASKS };
  }

  #nextByShare({ classes }: Band): Turn | undefined {
    while (classes.length > 0) {
      this.#queues ??= this.#sortByShare(classes[0]?.values() ?? []);
      for (let queue = this.#queues.at(-1); queue !== undefined; queue = this.#queues.at(-1)) {
        const job = this.#nextOf(queue);
        if (job !== undefined) {
          this.#turn = { isDue: false, job, queue };
          return { job, tasksLeft: MAX_TURN_TASKS };
        }
        this.#queues.pop();
      }
      this.#queues = undefined;
      classes.shift();
    }
    return undefined;
  }

  #nextOf(queue: JobQueue): WaitingJob | undefined {
    let job = queue.jobs[queue.next];
    while (job !== undefined && this.#taken.has(job)) {
      queue.next += 1;
      job = queue.jobs[queue.next];
    }
    return job;
  }

  #sortByShare(queues: Iterable<JobQueue>): JobQueue[] {
    // Of equal ones, the first in scheduling order comes last.
    const sorted = [...queues].reverse();
    for (const queue of sorted) {
      queue.overShare = this.#overShareOf(queue.workspace);
      queue.jobs.sort((a, b) => a.rank.latestStart - b.rank.latestStart);
    }
    return sorted.sort(compareShares);
  }

  // A workspace well within its part takes nothing from others, so that the time left decides among such workspaces.
  #overShareOf(workspace: string | undefined): number {
    return Math.max(0, this.#shares.shareOf(workspace) * this.#totalWeight - FREE_PART);
  }

  #insert(queue: JobQueue): void {
    const queues = this.#queues ?? [];
    queue.overShare = this.#overShareOf(queue.workspace);
    this.#nextOf(queue);
    const position = queues.findLastIndex((other) => compareShares(other, queue) <= 0) + 1;
    queues.splice(position, 0, queue);
  }
}

function classOf({ rank, run }: WaitingJob): number {
  const isEarly = rank.deadlineStatus !== DEADLINE_STATUS.missed;
  if (!isEarly) {
    return CLASS_COUNT - 1;
  }
  return rank.deadlineStatus + (run.isExcess ? EXCESS_OFFSET : 0);
}

// The lowest share last; of equal shares, the job with the least time left.
function compareShares(a: JobQueue, b: JobQueue): number {
  return b.overShare - a.overShare || latestStartOf(b) - latestStartOf(a);
}

function latestStartOf({ jobs, next }: JobQueue): number {
  return jobs[next]?.rank.latestStart ?? Infinity;
}
