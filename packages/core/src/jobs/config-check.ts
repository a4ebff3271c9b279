import type { ConfigFinding } from './config-finding';
import type { FleetConfig, PoolConfig, QueueConfig, RequestLimits, WorkspaceConfig } from './fleet-config';
import { findConfigDifferences } from './config-differences';
import { FINDING_SEVERITY } from './config-finding';

/** Processor time below which hardly any task fits into a maximum, in thousandths of a core. */
const MIN_MAXIMUM_CPU_MILLI = 1000;

/** Memory below which hardly any task fits into a maximum, in MB. */
const MIN_MAXIMUM_MEMORY_MB = 1;

/** Least share of all weights: a thousandth of a core, the unit of reservations, in a pool of 1,000 cores. */
const MIN_SHARE = 1e-6;

/**
 * Returns what is wrong with a configuration that was decoded, and what differs from the version in force where that is
 * given.
 */
export function checkConfig(cfg: FleetConfig, inForce?: FleetConfig): ConfigFinding[] {
  return [
    ...findUnreachableQueues(cfg.queues),
    ...cfg.queues.flatMap((queue, index) => checkQueue(queue, `queues[${index}]`, cfg)),
    ...checkWorkspaces(cfg.workspaces ?? []),
    ...checkLimits(cfg.limits),
    ...(inForce === undefined ? [] : [...checkVersion(cfg, inForce), ...findConfigDifferences(cfg, inForce)]),
  ];
}

// The first of several queues with the same host and path prefix gets all requests.
function findUnreachableQueues(queues: readonly QueueConfig[]): ConfigFinding[] {
  const firstByRoute = new Map<string, string>();
  return queues.flatMap(({ host, name, pathPrefix }, index) => {
    const queue = `queue ${JSON.stringify(name)}`;
    if (host === '') {
      return [neverMatches(`queues[${index}].host`, `${queue} has an empty host`)];
    }
    const route = JSON.stringify([host, pathPrefix]);
    const first = firstByRoute.get(route);
    if (first === undefined) {
      firstByRoute.set(route, name);
      return [];
    }
    const message = `${queue} is hidden by queue ${JSON.stringify(first)}, which has the same host and path prefix`;
    return [neverMatches(`queues[${index}].pathPrefix`, message)];
  });
}

function checkQueue(queue: QueueConfig, path: string, cfg: FleetConfig): ConfigFinding[] {
  const { advice, maxAttempts, name, stretch } = queue;
  const subject = `queue ${JSON.stringify(name)}`;
  const findings = checkQueuePool(queue, path, cfg.pools);
  if (!isUsable(queue, cfg.workspaces)) {
    const message = `${subject} is of use to nobody: no workspace has a key, and anonymous requests are not allowed`;
    findings.push(contradiction(`${path}.allowAnonymous`, message));
  }
  if (maxAttempts < 1) {
    findings.push(
      contradiction(`${path}.maxAttempts`, `${subject} has a number of attempts below 1: ${maxAttempts}`),
    );
  }
  if (stretch <= 0) {
    findings.push(
      contradiction(`${path}.stretch`, `${subject} has a stretch that is not above 0: ${stretch}`),
    );
  }
  if (advice !== undefined && advice.validityMs < advice.decisionMs) {
    const message = `${subject} has advice that is valid for ${advice.validityMs} ms and takes ${advice.decisionMs} ms`;
    findings.push(contradiction(`${path}.advice.validityMs`, message));
  }
  return findings;
}

function checkQueuePool(
  { name, pool }: QueueConfig,
  path: string,
  pools: readonly PoolConfig[],
): ConfigFinding[] {
  const defined = pools.filter((candidate) => candidate.name === pool);
  const subject = `queue ${JSON.stringify(name)}`;
  if (defined.length === 0) {
    return [
      contradiction(`${path}.pool`, `${subject} has the pool ${JSON.stringify(pool)}, which is not defined`),
    ];
  }
  return defined.some(({ spare }) => spare)
    ? [
        contradiction(
          `${path}.pool`,
          `${subject} has the pool ${JSON.stringify(pool)}, which is a spare pool`,
        ),
      ]
    : [];
}

function isUsable(queue: QueueConfig, workspaces: readonly WorkspaceConfig[] | undefined): boolean {
  return (
    workspaces === undefined ||
    queue.allowAnonymous === true ||
    workspaces.some(({ keys }) => keys.length > 0)
  );
}

function checkWorkspaces(workspaces: readonly WorkspaceConfig[]): ConfigFinding[] {
  const total = workspaces.reduce((sum, { weight }) => sum + weight, 0);
  return workspaces.flatMap(({ maximum, name, weight }, index) => {
    const path = `workspaces[${index}]`;
    const subject = `workspace ${JSON.stringify(name)}`;
    const findings: ConfigFinding[] = [];
    if (maximum.cpuMilli > 0 && maximum.cpuMilli < MIN_MAXIMUM_CPU_MILLI) {
      const message = `${subject} has a maximum below one core, in which hardly any task fits: ${maximum.cpuMilli}`;
      findings.push(contradiction(`${path}.maximum.cpuMilli`, message));
    }
    if (maximum.memoryMb > 0 && maximum.memoryMb < MIN_MAXIMUM_MEMORY_MB) {
      const message = `${subject} has a maximum below 1 MB, in which hardly any task fits: ${maximum.memoryMb}`;
      findings.push(contradiction(`${path}.maximum.memoryMb`, message));
    }
    if (weight / total < MIN_SHARE) {
      const message = `${subject} has the weight ${weight}, less than a millionth of the sum of all weights`;
      findings.push(contradiction(`${path}.weight`, message));
    }
    return findings;
  });
}

function checkLimits(limits: RequestLimits): ConfigFinding[] {
  const findings = Object.entries(limits)
    .filter(([, value]) => value <= 0)
    .map(([name, value]) => contradiction(`limits.${name}`, `the limit is not above 0: ${value}`));
  const { headerTimeoutMs, idleTimeoutMs } = limits;
  if (idleTimeoutMs > 0 && headerTimeoutMs > idleTimeoutMs) {
    const message = `the header timeout of ${headerTimeoutMs} ms is above the idle timeout of ${idleTimeoutMs} ms`;
    findings.push(contradiction('limits.headerTimeoutMs', message));
  }
  return findings;
}

function checkVersion({ version }: FleetConfig, inForce: FleetConfig): ConfigFinding[] {
  const message = `version ${version} is not above version ${inForce.version}, which is in force, and would be ignored`;
  return version > inForce.version ? [] : [contradiction('version', message)];
}

function contradiction(path: string, message: string): ConfigFinding {
  return { message, path, severity: FINDING_SEVERITY.contradiction };
}

function neverMatches(path: string, message: string): ConfigFinding {
  return { message, path, severity: FINDING_SEVERITY.neverMatches };
}
