import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { FleetRecordOf } from '../records/fleet-record';
import type { FleetState } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { refuse } from './refuse';

/** Makes a member the planner when it claims the epoch that follows the current one. */
export function applyEpochClaim(
  state: FleetState,
  record: FleetRecordOf<'epoch-claim'>,
): Result<void, FleetRefusal> {
  if (record.epoch !== state.planner.epoch + 1) {
    return refuse(
      'stale-epoch',
      `epoch ${record.epoch} doesn't follow the current epoch ${state.planner.epoch}`,
    );
  }
  state.planner = { epoch: record.epoch, member: record.member };
  return ok();
}

/** Starts a maintenance wave when none is running. */
export function applyWaveStart(
  state: FleetState,
  record: FleetRecordOf<'wave-start'>,
): Result<void, FleetRefusal> {
  if (state.wave?.state === 'running') {
    return refuse('wave-running', `wave ${state.wave.id} is already running`);
  }
  const unknown = record.vms.find((vm) => !state.vms.has(vm));
  if (unknown !== undefined) {
    return refuse('unknown-vm', `VM ${unknown} is not registered`);
  }
  state.wave = { id: record.wave, startedAt: record.at, state: 'running', vms: record.vms };
  return ok();
}

/** Stops a wave, so that no further VM is drained for it. */
export function applyWaveStop(
  state: FleetState,
  record: FleetRecordOf<'wave-stop'>,
): Result<void, FleetRefusal> {
  if (state.wave?.id !== record.wave || state.wave.state !== 'running') {
    return refuse('wrong-state', `wave ${record.wave} isn't running`);
  }
  state.wave.state = 'stopped';
  state.wave.stopReason = record.reason;
  return ok();
}
