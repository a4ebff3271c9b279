import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { DecodeError } from '../records/decode';
import type { FleetState } from './fleet-state';
import { decodeRecord } from '../records/decode';
import { teamBranchSchema } from '../records/settings-schema';
import { resourcesSchema } from '../tasks/task-spec';
import { rebuildPoolOwners } from './apply-settings';

const drainSchema = z.object({
  id: z.string(),
  offset: z.int(),
  purpose: z.enum(['move', 'reboot', 'remove']),
  to: z.string().optional(),
  waitingFor: z.array(z.tuple([z.string(), z.int()])),
  wave: z.string().optional(),
});

const vmSchema = z.object({
  address: z.string(),
  connections: z.int(),
  drain: drainSchema.optional(),
  health: z.enum(['down', 'suspect', 'up']),
  id: z.string(),
  maintainedAt: z.int(),
  pool: z.string(),
  rack: z.string(),
  resources: resourcesSchema.optional(),
  role: z.enum(['target', 'worker']),
  slots: z.int(),
  state: z.enum(['draining', 'released', 'serving']),
  zone: z.string(),
});

const memberSchema = z.object({
  address: z.string(),
  id: z.string(),
  incarnation: z.int(),
  role: z.enum(['control', 'entry']),
  vm: z.string(),
  zone: z.string(),
});

const waveSchema = z.object({
  id: z.string(),
  startedAt: z.int(),
  state: z.enum(['running', 'stopped']),
  stopReason: z.string().optional(),
  vms: z.array(z.string()),
});

const snapshotSchema = z.object({
  branches: z.array(z.tuple([z.string(), z.object({ value: teamBranchSchema, version: z.int() })])),
  members: z.array(memberSchema),
  next: z.int(),
  planner: z.object({ epoch: z.int(), member: z.string().optional() }),
  recentIds: z.array(z.string()),
  vms: z.array(vmSchema),
  wave: waveSchema.optional(),
});

/** Serialisable form of the fleet state, for snapshots and comparisons. */
export type FleetSnapshot = z.infer<typeof snapshotSchema>;

/** Converts the fleet state to its serialisable form. */
export function toSnapshot(state: FleetState): FleetSnapshot {
  return {
    branches: [...state.branches],
    members: [...state.members.values()],
    next: state.next,
    planner: state.planner,
    recentIds: [...state.recentIds],
    vms: [...state.vms.values()].map((vm) => ({
      ...vm,
      drain: vm.drain && { ...vm.drain, waitingFor: [...vm.drain.waitingFor] },
    })),
    wave: state.wave && { ...state.wave },
  };
}

/** Validates a snapshot of the fleet state that was read from the log or a peer. */
export function parseSnapshot(raw: unknown): Result<FleetSnapshot | undefined, DecodeError> {
  return decodeRecord(snapshotSchema, raw);
}

/** Restores the fleet state from a snapshot that was read from the log or a peer. */
export function fromSnapshot(raw: unknown): Result<FleetState, DecodeError> {
  return decodeRecord(snapshotSchema, raw).map((snapshot) => {
    const state: FleetState = {
      branches: new Map(snapshot.branches),
      members: new Map(snapshot.members.map((member) => [member.id, member])),
      next: snapshot.next,
      planner: snapshot.planner,
      poolOwners: new Map(),
      recentIds: new Set(snapshot.recentIds),
      vms: new Map(
        snapshot.vms.map((vm) => [
          vm.id,
          { ...vm, drain: vm.drain && { ...vm.drain, waitingFor: new Map(vm.drain.waitingFor) } },
        ]),
      ),
      wave: snapshot.wave,
    };
    rebuildPoolOwners(state);
    return state;
  });
}
