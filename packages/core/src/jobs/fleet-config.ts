/** A queue: callers' requests with this host and path prefix become jobs of a pool. */
export interface QueueConfig {
  /** Undefined where every worker of the pool may run every step. */
  advice: AdviceConfig | undefined;
  host: string;
  /** Failed runs of a task after which its job has failed. */
  maxAttempts: number;
  name: string;
  pathPrefix: string;
  pool: string;
  /** 0 comes first. */
  priority: number;
  /** Factor on the longest chain of work, for the time in which a job is expected. */
  stretch: number;
  /** Time in which a job is expected beyond its own work, in ms. */
  targetMs: number;
  timeoutMs: number;
}

/** Costs of asking which workers may run a step. */
export interface AdviceConfig {
  decisionMs: number;
  perWorkerMs: number;
  validityMs: number;
}

/** A pool of workers. */
export interface PoolConfig {
  /** Workers of the pool refuse what exceeds their capacity. */
  enforcesCapacity: boolean;
  name: string;
  /** VMs of the pool are switched off. */
  spare: boolean;
}

/** Limits on callers' requests. */
export interface RequestLimits {
  headerTimeoutMs: number;
  idleTimeoutMs: number;
  maxBodyBytes: number;
  maxHeaderBytes: number;
}

/** Configuration by the operators, whole. */
export interface FleetConfig {
  limits: RequestLimits;
  pools: PoolConfig[];
  queues: QueueConfig[];
  version: number;
}

/** The queue of a request and the rest of its path; undefined when there is no such queue. */
export function findQueue(
  cfg: FleetConfig,
  host: string,
  path: string,
): { queue: QueueConfig; rest: string } | undefined {
  const matches = cfg.queues.filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix));
  const queue = matches.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  return queue === undefined ? undefined : { queue, rest: path.slice(queue.pathPrefix.length) };
}
