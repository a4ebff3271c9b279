import * as z from 'zod';
import { resourcesSchema } from '../tasks/task-spec';
import { nameSchema } from './names';
import { recordBase } from './record-base';
import { teamBranchSchema } from './settings-schema';

/** Health of a VM, as used for the availability budget. */
export const VM_HEALTH = { down: 'down', suspect: 'suspect', up: 'up' } as const;
/** Health of a VM. */
export type VmHealth = (typeof VM_HEALTH)[keyof typeof VM_HEALTH];

/** Purpose of draining a VM. */
export const DRAIN_PURPOSE = { move: 'move', reboot: 'reboot', remove: 'remove' } as const;

/** Role of the process that a member record describes. */
export const MEMBER_ROLE = { control: 'control', entry: 'entry' } as const;

const incarnation = z.int().min(0);

const fleetRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...recordBase,
    base: z.int().min(0),
    branch: teamBranchSchema,
    kind: z.literal('settings-apply'),
    team: nameSchema,
  }),
  z.object({
    ...recordBase,
    address: z.string().min(1).max(200),
    connections: z.int().min(1),
    kind: z.literal('vm-register'),
    rack: z.string().max(100),
    resources: resourcesSchema.optional(),
    role: z.enum(['target', 'worker']),
    slots: z.int().min(1),
    vm: nameSchema,
    zone: z.string().max(100),
  }),
  z.object({
    ...recordBase,
    epoch: z.int().min(0).optional(),
    from: nameSchema.optional(),
    kind: z.literal('vm-drain'),
    purpose: z.enum(['move', 'reboot', 'remove']),
    to: nameSchema.optional(),
    vm: nameSchema,
    wave: z.string().max(200).optional(),
  }),
  z.object({ ...recordBase, drain: z.string(), kind: z.literal('vm-undrain'), vm: nameSchema }),
  z.object({
    ...recordBase,
    drain: z.string(),
    incarnation,
    kind: z.literal('vm-clear'),
    member: nameSchema,
    vm: nameSchema,
  }),
  z.object({
    ...recordBase,
    health: z.enum(['down', 'suspect', 'up']),
    kind: z.literal('vm-health'),
    vm: nameSchema,
  }),
  z.object({
    ...recordBase,
    address: z.string().min(1).max(200),
    incarnation,
    kind: z.literal('member-join'),
    member: nameSchema,
    role: z.enum(['control', 'entry']),
    vm: nameSchema,
    zone: z.string().max(100),
  }),
  z.object({ ...recordBase, incarnation, kind: z.literal('member-gone'), member: nameSchema }),
  z.object({ ...recordBase, epoch: z.int().min(1), kind: z.literal('epoch-claim'), member: nameSchema }),
  z.object({
    ...recordBase,
    epoch: z.int().min(0),
    kind: z.literal('wave-start'),
    vms: z.array(nameSchema).min(1).max(10_000),
    wave: z.string().min(1).max(200),
  }),
  z.object({
    ...recordBase,
    kind: z.literal('wave-stop'),
    reason: z.string().max(500),
    wave: z.string().min(1).max(200),
  }),
  z.object({ ...recordBase, kind: z.literal('snapshot'), state: z.unknown() }),
]);

/** Record of the `fleet` stream. */
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

/** Record of the `fleet` stream of kind `K`. */
export type FleetRecordOf<K extends FleetRecord['kind']> = Extract<FleetRecord, { kind: K }>;

export { fleetRecordSchema };
