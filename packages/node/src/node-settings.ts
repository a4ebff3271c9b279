import { addressSchema } from '@sequoiaquay/runtime';
import * as z from 'zod';

const positive = z.number().positive();

/** Bounds of the platform that decisions depend on. */
const boundsSchema = z.object({
  /** Time that a process has between the request to stop and its end, in seconds. */
  gracePeriodS: positive,
  /** Time for which two leaders must not give orders for the same VM, in ms. */
  leaseDurationMs: positive,
  /** Longest lease of what runs on a worker, in ms. */
  maxLeaseMs: positive,
  /** Time for which the state of an ended job is kept, in seconds. */
  stateKeptS: positive,
});

/** Settings of a node. */
export const nodeSettingsSchema = z.object({
  /** Service that knows which workers may run a step; left out where there is none. */
  adviceAddress: addressSchema.optional(),
  availabilityZone: z.string().min(1),
  bounds: boundsSchema,
  /** Address for callers. */
  callerAddress: addressSchema,
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** Address for metrics. */
  metricsAddress: addressSchema,
  /** Name of the node, unique among all. */
  name: z.string().min(1),
  /** Address at which the platform asks whether the node takes requests. */
  readinessAddress: addressSchema,
  /** Store of the platform. */
  storeAddress: addressSchema,
  /** Service for the VMs of the pools; left out where there is none. */
  vmServiceAddress: addressSchema.optional(),
});

/** Settings of a node. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
