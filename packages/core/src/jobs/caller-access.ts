import type { FleetConfig, QueueConfig } from './fleet-config';
import type { Job } from './job-spec';
import { findQueue } from './fleet-config';

/** Results of the checks that come before a request is handled, in their order. */
export const ACCESS_CHECK = {
  noConfiguration: 'no-configuration',
  unknownQueue: 'unknown-queue',
  /** The key is missing or not known, but a configuration that was not read yet may have it. */
  configurationNotCurrent: 'configuration-not-current',
  /** The key is missing or belongs to no workspace. */
  unauthorized: 'unauthorized',
  allowed: 'allowed',
} as const;

/** Result of the checks; an allowed request has its queue and the rest of its path. */
export type AccessCheck =
  | { kind: 'allowed'; queue: QueueConfig; rest: string; workspace: string | undefined }
  | { kind: 'configuration-not-current' | 'no-configuration' | 'unauthorized' | 'unknown-queue' };

/** What a request says of its queue and its sender. */
export interface AccessRequest {
  /** Key in the request; undefined without one. An empty key counts as one that nobody has. */
  apiKey?: string | undefined;
  host: string;
  path: string;
}

/** Decides what callers may do, by one version of the configuration. */
export class CallerAccess {
  readonly #queueByName: ReadonlyMap<string, QueueConfig>;
  /** Undefined where callers need no keys. */
  readonly #workspaceByKey: ReadonlyMap<string, string> | undefined;

  /** Builds the index of the keys. */
  constructor(readonly cfg: FleetConfig) {
    this.#queueByName = new Map(cfg.queues.map((queue) => [queue.name, queue]));
    this.#workspaceByKey = cfg.workspaces && indexKeys(cfg.workspaces);
  }

  /**
   * Decides whether a caller may use the queue of a request. `isCurrent` is whether a newer configuration would have
   * been read.
   */
  check({ apiKey, host, path }: AccessRequest, isCurrent: boolean): AccessCheck {
    const found = findQueue(this.cfg, host, path);
    if (found === undefined) {
      return { kind: ACCESS_CHECK.unknownQueue };
    }
    if (this.#workspaceByKey === undefined) {
      return { ...found, kind: ACCESS_CHECK.allowed, workspace: undefined };
    }
    const workspace = apiKey === undefined ? undefined : this.#workspaceByKey.get(apiKey);
    const isAnonymous = apiKey === undefined && found.queue.allowAnonymous === true;
    if (workspace === undefined && !isAnonymous) {
      return { kind: isCurrent ? ACCESS_CHECK.unauthorized : ACCESS_CHECK.configurationNotCurrent };
    }
    return { ...found, kind: ACCESS_CHECK.allowed, workspace };
  }

  /**
   * Returns whether the callers of a workspace, undefined for callers without a key, may read, cancel and repeat a job.
   * The path of a request may be that of another queue than the job's, so that a job without a workspace is closed to
   * callers without a key if its own queue is.
   */
  mayUseJob(workspace: string | undefined, job: Pick<Job, 'queue' | 'workspace'>): boolean {
    if (this.#workspaceByKey === undefined) {
      return true;
    }
    if (job.workspace !== undefined) {
      return job.workspace === workspace;
    }
    const ownQueue = this.#queueByName.get(job.queue);
    return workspace !== undefined || ownQueue === undefined || ownQueue.allowAnonymous === true;
  }
}

/** Decides whether a caller may use the queue of a request; `access` is undefined before the first configuration. */
export function checkAccess(
  access: CallerAccess | undefined,
  req: AccessRequest,
  isCurrent: boolean,
): AccessCheck {
  return access === undefined ? { kind: ACCESS_CHECK.noConfiguration } : access.check(req, isCurrent);
}

function indexKeys(workspaces: NonNullable<FleetConfig['workspaces']>): ReadonlyMap<string, string> {
  return new Map(workspaces.flatMap(({ keys, name }) => keys.map((key) => [key, name] as const)));
}
