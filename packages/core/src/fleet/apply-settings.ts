import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { FleetRecordOf } from '../records/fleet-record';
import type { FleetState } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { UNASSIGNED_POOL } from './fleet-state';
import { refuse } from './refuse';

/** Replaces the settings of a team when the proposal is based on their current version. */
export function applySettings(
  state: FleetState,
  offset: number,
  record: FleetRecordOf<'settings-apply'>,
): Result<void, FleetRefusal> {
  const version = state.branches.get(record.team)?.version ?? 0;
  if (record.base !== version) {
    return refuse(
      'stale-base',
      `team ${record.team} is at version ${version}, the change is based on ${record.base}`,
    );
  }
  const unavailable = findUnavailablePool(state, record);
  if (unavailable !== undefined) {
    return refuse('pool-taken', `pool ${unavailable} is reserved or belongs to another team`);
  }
  const inUse = findRemovedPoolInUse(state, record);
  if (inUse !== undefined) {
    return refuse('wrong-state', `pool ${inUse} can't be removed while it has VMs or VMs are moving to it`);
  }
  state.branches.set(record.team, { value: record.branch, version: offset + 1 });
  rebuildPoolOwners(state);
  return ok();
}

/** Derives the owner of each pool from the accepted settings of the teams. */
export function rebuildPoolOwners(state: FleetState): void {
  state.poolOwners.clear();
  for (const [team, branch] of state.branches) {
    for (const pool of Object.keys(branch.value.pools)) {
      state.poolOwners.set(pool, team);
    }
  }
}

function findUnavailablePool(state: FleetState, record: FleetRecordOf<'settings-apply'>): string | undefined {
  return Object.keys(record.branch.pools).find((pool) => {
    const owner = state.poolOwners.get(pool);
    return pool === UNASSIGNED_POOL || (owner !== undefined && owner !== record.team);
  });
}

function findRemovedPoolInUse(
  state: FleetState,
  record: FleetRecordOf<'settings-apply'>,
): string | undefined {
  const removed = new Set<string>();
  for (const [pool, owner] of state.poolOwners) {
    if (owner === record.team && !Object.hasOwn(record.branch.pools, pool)) {
      removed.add(pool);
    }
  }
  for (const vm of state.vms.values()) {
    if (removed.has(vm.pool)) {
      return vm.pool;
    }
    if (vm.drain?.to !== undefined && removed.has(vm.drain.to)) {
      return vm.drain.to;
    }
  }
  return undefined;
}
