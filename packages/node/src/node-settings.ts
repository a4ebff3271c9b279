import { addressSchema } from '@sequoiaquay/runtime';
import * as z from 'zod';
import type { AppendLimits } from './append-limits';
import { NO_APPEND_LIMITS } from './append-limits';

const positiveNumber = z.number().positive();

/** Size of a resource of the machine; 0 means that it is not known. */
const resourceSize = z.number().nonnegative();

/** Time bounds of the platform. */
const boundsSchema = z.object({
  /** Time between the request to stop a process and its forced end, in seconds. */
  gracePeriodS: positiveNumber,
  /** Time for which two leaders must not give orders for the same VM, in ms. */
  leaseDurationMs: positiveNumber,
  /** Longest lease of runs on a worker, in ms. */
  maxLeaseMs: positiveNumber,
  /**
   * Run time of a task on another rack than that of its data, as a multiple of the run time there; omitted if not
   * known. Up to 1 no task waits for a rack.
   */
  remoteFactor: z.number().nonnegative().optional(),
  /** Retention time of the state of an ended job, in seconds. */
  stateKeptS: positiveNumber,
});

const wholeNumber = z.number().int().positive();

/** Limits for clients on the address for callers. */
const callerLimitsSchema = z.object({
  /** Time in which a caller must take an answer, in ms. */
  answerMs: positiveNumber.optional(),
  /** Time in which a whole body must arrive, in ms. */
  bodyMs: positiveNumber.optional(),
  /** Time without a further byte after which an unfinished body is refused, in ms. */
  bodyStallMs: positiveNumber.optional(),
  /** Most open connections. */
  connections: wholeNumber.optional(),
  /** Most bytes of the headers of a request. */
  headerBytes: wholeNumber.optional(),
  /** Most bytes that are held for requests without an answer. */
  heldBytes: wholeNumber.optional(),
  /** Most requests of a connection without an answer. */
  pipelinedRequests: wholeNumber.optional(),
  /** Most bytes of jobs that are being stored. */
  submissionBytes: wholeNumber.optional(),
});

/** Schema of the settings of a node. */
export const nodeSettingsSchema = z.object({
  /** Address of the service that decides which workers may run a step; omitted if there is none. */
  adviceAddress: addressSchema.optional(),
  availabilityZone: z.string().min(1),
  bounds: boundsSchema,
  /** Address on which the node listens for callers. */
  callerAddress: addressSchema,
  callerLimits: callerLimitsSchema.optional(),
  /** Speed of a core relative to that of other machines. */
  cpuCores: resourceSize.optional(),
  /** Share of a core that the process may use. */
  cpuShare: resourceSize.optional(),
  /** Number of file descriptors that the process may open. */
  fileDescriptors: resourceSize.optional(),
  /** Capacity of the machine's link in each direction, in Mbit/s. */
  linkMbps: resourceSize.optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** Memory that the process may use, in MB. */
  memoryMb: resourceSize.optional(),
  /** Address on which the node serves its metrics. */
  metricsAddress: addressSchema,
  /** Name of the node, unique among all nodes. */
  name: z.string().min(1),
  /** Address on which the node serves calls of other nodes; omitted if it neither takes nor makes any. */
  peerAddress: addressSchema.optional(),
  /** Address on which the node serves the platform's readiness checks. */
  readinessAddress: addressSchema,
  /** Address of the platform's store. */
  storeAddress: addressSchema,
  /** Most bytes of the records that the store takes in one call; omitted if not known. */
  storeCallBytes: positiveNumber.optional(),
  /** Most bytes of a record that the store takes; omitted if not known. */
  storeRecordBytes: positiveNumber.optional(),
  /** Address of the service that manages the VMs of the pools; omitted if there is none. */
  vmServiceAddress: addressSchema.optional(),
});

/** Settings of a node. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;

/** Returns the limits that the store sets on an append. */
export function appendLimits(settings: NodeSettings): AppendLimits {
  const { storeCallBytes, storeRecordBytes } = settings;
  return {
    callBytes: storeCallBytes ?? NO_APPEND_LIMITS.callBytes,
    recordBytes: storeRecordBytes ?? NO_APPEND_LIMITS.recordBytes,
  };
}

const BYTES_PER_MBIT = 125_000;

/** Returns the capacity of the machine's link in each direction, in bytes a second; undefined if not known. */
export function linkBytesPerS(settings: NodeSettings): number | undefined {
  const { linkMbps = 0 } = settings;
  return linkMbps > 0 ? linkMbps * BYTES_PER_MBIT : undefined;
}
