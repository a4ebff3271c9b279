import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { FleetRecord } from '../records/fleet-record';
import type { FleetState } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { decodeRecord } from '../records/decode';
import { fleetRecordSchema } from '../records/fleet-record';
import { applyVmClear, applyVmDrain, applyVmUndrain } from './apply-drain';
import { applyMemberGone, applyMemberJoin } from './apply-member';
import { applySettings } from './apply-settings';
import { applyVmHealth, applyVmRegister } from './apply-vm';
import { applyEpochClaim, applyWaveStart, applyWaveStop } from './apply-wave';
import { refuse } from './refuse';

/** Number of record ids kept to detect repeats of an append whose answer was lost. */
const MAX_RECENT_IDS = 4096;

/**
 * Applies the record at an offset and returns the record, or the reason why it was rejected.
 * Deterministic: replicas that apply the same records reach the same state.
 */
export function applyFleetRecord(
  state: FleetState,
  offset: number,
  raw: unknown,
): Result<FleetRecord, FleetRefusal> {
  state.next = offset + 1;
  const decoded = decodeRecord(fleetRecordSchema, raw);
  if (decoded.isErr()) {
    return err({ detail: decoded.error.problems.join('; '), reason: 'bad-record' });
  }
  const record = decoded.value;
  if (state.recentIds.has(record.id)) {
    return refuse('duplicate-id', `record ${record.id} has already been applied`);
  }
  rememberId(state, record.id);
  return applyKind(state, offset, record).map(() => record);
}

function applyKind(state: FleetState, offset: number, record: FleetRecord): Result<void, FleetRefusal> {
  switch (record.kind) {
    case 'epoch-claim':
      return applyEpochClaim(state, record);
    case 'member-gone':
      return applyMemberGone(state, record);
    case 'member-join':
      return applyMemberJoin(state, record);
    case 'settings-apply':
      return applySettings(state, offset, record);
    case 'snapshot':
      return ok();
    case 'vm-clear':
      return applyVmClear(state, record);
    case 'vm-drain':
      return applyVmDrain(state, offset, record);
    case 'vm-health':
      return applyVmHealth(state, record);
    case 'vm-register':
      return applyVmRegister(state, record);
    case 'vm-undrain':
      return applyVmUndrain(state, record);
    case 'wave-start':
      return applyWaveStart(state, record);
    case 'wave-stop':
      return applyWaveStop(state, record);
  }
}

function rememberId(state: FleetState, id: string): void {
  state.recentIds.add(id);
  if (state.recentIds.size <= MAX_RECENT_IDS) {
    return;
  }
  const oldest = state.recentIds.values().next();
  if (oldest.done !== true) {
    state.recentIds.delete(oldest.value);
  }
}
