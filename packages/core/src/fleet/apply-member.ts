import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { FleetRecordOf } from '../records/fleet-record';
import type { FleetState } from './fleet-state';
import type { FleetRefusal } from './refusal';
import { stopWaitingFor } from './apply-drain';
import { refuse } from './refuse';

/** Adds a member. An earlier incarnation of it has ended, so drains no longer wait for that one. */
export function applyMemberJoin(
  state: FleetState,
  record: FleetRecordOf<'member-join'>,
): Result<void, FleetRefusal> {
  const known = state.members.get(record.member);
  if (known !== undefined && known.incarnation >= record.incarnation) {
    return refuse('stale-incarnation', `${record.member} is at incarnation ${known.incarnation}`);
  }
  if (known !== undefined) {
    stopWaitingFor(state, known.id, known.incarnation);
  }
  state.members.set(record.member, {
    address: record.address,
    id: record.member,
    incarnation: record.incarnation,
    role: record.role,
    vm: record.vm,
    zone: record.zone,
  });
  return ok();
}

/** Removes a member whose process has ended. */
export function applyMemberGone(
  state: FleetState,
  record: FleetRecordOf<'member-gone'>,
): Result<void, FleetRefusal> {
  const known = state.members.get(record.member);
  if (known === undefined) {
    return refuse('unknown-member', `${record.member} is not a member`);
  }
  if (known.incarnation !== record.incarnation) {
    return refuse('stale-incarnation', `${record.member} is at incarnation ${known.incarnation}`);
  }
  state.members.delete(record.member);
  stopWaitingFor(state, known.id, known.incarnation);
  return ok();
}
