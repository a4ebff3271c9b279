import type { Demand } from './demand';

/** What a queue determines for its jobs; a job keeps it after its queue was dropped. */
export interface JobPolicy {
  /** Undefined if every worker of the pool may run every step. */
  advice: AdviceConfig | undefined;
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: number;
  /** Queues with a lower number are served first; 0 is the highest priority. */
  priority: number;
  /** Factor by which the critical path of a job is multiplied to get its expected time. */
  stretch: number;
  /** Time that is added to the stretched critical path of a job to get its expected time, in ms. */
  targetMs: number;
}

/** Queue that turns callers' requests with a host and path prefix into jobs of a pool. */
export interface QueueConfig extends JobPolicy {
  /** Whether requests need no key; only of effect where the configuration has workspaces. */
  allowAnonymous?: boolean;
  host: string;
  name: string;
  pathPrefix: string;
  pool: string;
  timeoutMs: number;
}

/** Cost and validity of the advice on which workers may run a step. */
export interface AdviceConfig {
  decisionMs: number;
  perWorkerMs: number;
  validityMs: number;
}

/** Configuration of a pool of workers. */
export interface PoolConfig {
  /** Whether workers of the pool refuse tasks that exceed their capacity. */
  enforcesCapacity: boolean;
  name: string;
  /** Whether the VMs of the pool are switched off. */
  spare: boolean;
}

/** Workspace that shares the pools with others; its callers identify themselves by keys. */
export interface WorkspaceConfig {
  /** Keys of its callers; each belongs to one workspace only. */
  keys: string[];
  /** Most that its tasks may reserve at a time, over all pools; 0 means no limit. */
  maximum: Demand;
  name: string;
  /** Its share relative to the weights of the others, and the jobs a second to which it is entitled. */
  weight: number;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  headerTimeoutMs: number;
  idleTimeoutMs: number;
  maxBodyBytes: number;
  maxHeaderBytes: number;
}

/** Complete configuration of the fleet, as set by the operators. */
export interface FleetConfig {
  limits: RequestLimits;
  pools: PoolConfig[];
  queues: QueueConfig[];
  version: number;
  /** Undefined where callers need no keys. */
  workspaces?: WorkspaceConfig[] | undefined;
}

/** Returns what a queue determines for the jobs that it accepts. */
export function toJobPolicy({ advice, maxAttempts, priority, stretch, targetMs }: QueueConfig): JobPolicy {
  return { advice, maxAttempts, priority, stretch, targetMs };
}

/**
 * Returns the queue whose host and path prefix match a request, and the rest of the path. The longest
 * matching prefix wins. Returns undefined if no queue matches.
 */
export function findQueue(
  cfg: FleetConfig,
  host: string,
  path: string,
): { queue: QueueConfig; rest: string } | undefined {
  const matches = cfg.queues.filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix));
  const queue = matches.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) };
}
