import type { FleetRecord } from '@sequoiaquay/core';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { ChangeLogger } from '@sequoiaquay/runtime';
import type { FleetReplica } from './fleet-replica';
import type { LogClient } from './log-client';

/** Interval at which the age of the state and the reachability of the log are checked, in ms. */
const CHECK_INTERVAL_MS = 1000;

/** Age above which fleet state counts as stale, in ms: a long poll of 5 s plus 2 s for the call itself. */
export const STALE_AFTER_MS = 7000;

/** Dependencies of `logFleetChanges`. */
export interface FleetLogDependencies {
  log: Logger;
  logClient: LogClient;
  replica: FleetReplica;
  timers: TimerService;
}

/** Logs each change of the fleet, and when its state becomes stale or fresh or the log reachable or unreachable. */
export function logFleetChanges(deps: FleetLogDependencies, signal: AbortSignal): void {
  const changes = new ChangeLogger(deps.log);
  deps.replica.subscribe((_entry, result) => {
    // Records applied before the replica has caught up predate this process.
    if (result.isOk() && deps.replica.caughtUp) {
      logRecord(deps.log, result.value);
    }
  }, signal);
  deps.timers.every(
    CHECK_INTERVAL_MS,
    () => {
      const ageMs = deps.replica.ageMs ?? Number.POSITIVE_INFINITY;
      changes.report('fleet state', ageMs > STALE_AFTER_MS ? 'stale' : 'fresh');
      if (deps.logClient.reachable !== undefined) {
        changes.report('log', deps.logClient.reachable ? 'reachable' : 'unreachable');
      }
    },
    signal,
  );
}

function logRecord(log: Logger, record: FleetRecord): void {
  switch (record.kind) {
    case 'epoch-claim':
      log.info({ epoch: record.epoch, member: record.member }, 'planner changed');
      return;
    case 'member-gone':
      log.info({ member: record.member }, 'member left');
      return;
    case 'member-join':
      log.info({ incarnation: record.incarnation, member: record.member }, 'member joined');
      return;
    case 'vm-drain':
      log.info({ drain: record.id, purpose: record.purpose, vm: record.vm }, 'VM left routing');
      return;
    case 'vm-health':
      log.info({ health: record.health, vm: record.vm }, 'VM health changed');
      return;
    default:
      return;
  }
}
