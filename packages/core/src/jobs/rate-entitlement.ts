import type { JobRun } from './job-run';
import type { WorkspaceWeights } from './workspace-weights';

/** Time within which jobs may arrive in another order than that of their acceptance, in ms. */
const REORDER_WINDOW_MS = 10_000;

/** Time in which an unused bucket fills, in s. */
const BUCKET_S = 1;

const MS_PER_SECOND = 1000;

/** Tokens of a workspace, each of which entitles it to a job. */
interface Bucket {
  /** Wall clock time up to which tokens have been added, in ms. */
  at: number;
  /** Undefined as long as the bucket is full. */
  tokens: number | undefined;
}

interface AcceptedJob {
  /** Wall clock time of the acceptance, in ms. */
  at: number;
  /** State of the bucket after the job. */
  bucket: Bucket;
  run: JobRun;
}

/** Jobs of a workspace by their acceptance. */
interface RecentJobs {
  /** State of the bucket before the first of the jobs. */
  before: Bucket;
  jobs: AcceptedJob[];
}

const FULL_BUCKET: Bucket = { at: -Infinity, tokens: undefined };

/**
 * Marks the jobs that a workspace sends beyond the rate to which it is entitled (`JobRun.isExcess`): a token bucket for
 * each workspace, over the acceptance times of its jobs.
 */
export class RateEntitlement {
  readonly #byWorkspace = new Map<string, RecentJobs>();
  #weights: WorkspaceWeights | undefined;

  /** Applies the weights of a configuration to the jobs that were accepted of late and to later ones. */
  onWeights(weights: WorkspaceWeights | undefined): void {
    this.#weights = weights;
    for (const [workspace, recent] of this.#byWorkspace) {
      this.#fill(workspace, recent, 0);
    }
  }

  /** Adds an accepted job at a wall clock time in ms. Long-running and scheduled jobs are not counted. */
  add(run: JobRun, wallNow: number): void {
    const { acceptedAt, spec, workspace } = run.job;
    if (workspace === undefined || run.isLongRunning || spec.schedule !== undefined) {
      return;
    }
    const recent = this.#byWorkspace.get(workspace) ?? { before: FULL_BUCKET, jobs: [] };
    this.#byWorkspace.set(workspace, recent);
    // The clock of the node that accepted the job may be ahead.
    const added: AcceptedJob = { at: Math.min(acceptedAt, wallNow), bucket: FULL_BUCKET, run };
    const position = recent.jobs.findLastIndex((job) => isBefore(job, added)) + 1;
    recent.jobs.splice(position, 0, added);
    this.#fill(workspace, recent, position);
  }

  /** Forgets the jobs before which no more are expected, at a wall clock time in ms. Their marks remain. */
  settle(wallNow: number): void {
    for (const [workspace, recent] of this.#byWorkspace) {
      const isRecent = ({ at }: AcceptedJob): boolean => at > wallNow - REORDER_WINDOW_MS;
      const settled = recent.jobs.findIndex(isRecent);
      const count = settled === -1 ? recent.jobs.length : settled;
      recent.before = recent.jobs[count - 1]?.bucket ?? recent.before;
      recent.jobs.splice(0, count);
      if (recent.jobs.length === 0) {
        this.#byWorkspace.delete(workspace);
      }
    }
  }

  // Runs the bucket over the jobs from a position on.
  #fill(workspace: string, { before, jobs }: RecentJobs, position: number): void {
    const rate = this.#weights?.rateOf(workspace) ?? Infinity;
    let bucket = jobs[position - 1]?.bucket ?? before;
    for (const job of jobs.slice(position)) {
      bucket = addTokens(bucket, job.at, rate);
      job.run.isExcess = bucket.tokens !== undefined && bucket.tokens < 1;
      if (!job.run.isExcess) {
        bucket = { at: bucket.at, tokens: (bucket.tokens ?? capacityOf(rate)) - 1 };
      }
      job.bucket = bucket;
    }
  }
}

function isBefore(a: AcceptedJob, b: AcceptedJob): boolean {
  return a.at < b.at || (a.at === b.at && a.run.job.id <= b.run.job.id);
}

function capacityOf(rate: number): number {
  return Math.max(1, rate * BUCKET_S);
}

function addTokens({ at, tokens }: Bucket, now: number, rate: number): Bucket {
  if (tokens === undefined || rate === Infinity) {
    return { at: now, tokens: undefined };
  }
  const added = (rate * Math.max(0, now - at)) / MS_PER_SECOND;
  return { at: Math.max(at, now), tokens: Math.min(capacityOf(rate), tokens + added) };
}
