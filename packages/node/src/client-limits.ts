import type { RequestLimits } from '@sequoiaquay/core/jobs';
import type { GuardLimits, RequestBounds } from '@sequoiaquay/runtime';
import type { NodeSettings } from './node-settings';
import { MAX_CALL_BYTES, MAX_WAITING_BYTES } from './peer-limits';

/** Memory and descriptors that are assumed where the settings don't state them: those of the smallest machines. */
const DEFAULT_MEMORY_MB = 250;
const DEFAULT_FILE_DESCRIPTORS = 4096;

/** Descriptors reserved for files. */
const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors for callers; the rest is for workers, services and connections being closed. */
const CALLER_DESCRIPTOR_SHARE = 0.5;

/** Connections for each MB: a connection whose headers have not ended may hold 16 KB, so about 6% of the memory. */
const CONNECTIONS_PER_MB = 4;

/** Bytes for requests without an answer for each MB, that is 8% of the memory: 20 MB on the smallest machines. */
const HELD_BYTES_PER_MB = 80_000;

/** Bytes of jobs being stored for each MB: those of ordinary jobs on as many connections as callers may open. */
const SUBMISSION_BYTES_PER_MB = 72_000;

/** Limits of requests until there is a configuration: those of the configuration on all sites. */
const DEFAULT_BOUNDS: RequestBounds = {
  bodyBytes: 262_144,
  headerBytes: 16_384,
  headerMs: 3000,
  idleMs: 15_000,
};

const DEFAULT_TIMES = { answerMs: 10_000, bodyMs: 30_000, bodyStallMs: 5000 };
const DEFAULT_PIPELINED_REQUESTS = 64;

/** Limits of the servers for readiness and metrics, whose clients send a few small requests a second. */
export const INTERNAL_LIMITS: GuardLimits = {
  ...DEFAULT_TIMES,
  connections: 64,
  headerBytes: DEFAULT_BOUNDS.headerBytes,
  heldBytes: 1_000_000,
  pipelinedRequests: 8,
};

/** Bounds of requests for readiness and metrics. */
export const INTERNAL_BOUNDS: RequestBounds = { ...DEFAULT_BOUNDS, bodyBytes: 1024 };

/** Most connections of other nodes: 5 calls at a time from each of a hundred nodes. */
const MAX_PEER_CONNECTIONS = 512;

/** Share of the descriptors without those for files for connections of other nodes. */
const PEER_DESCRIPTOR_SHARE = 0.25;

/** Most bytes that are held for calls of other nodes: twice the records of other nodes that a leader lets wait. */
const PEER_HELD_BYTES = 2 * MAX_WAITING_BYTES;

/** Bounds of the calls of other nodes. */
export const PEER_BOUNDS: RequestBounds = { ...DEFAULT_BOUNDS, bodyBytes: MAX_CALL_BYTES };

/** Returns the limits for other nodes; they hold as well for clients that only know the address. */
export function peerLimits(settings: NodeSettings): GuardLimits {
  const share = Math.floor(statedDescriptors(settings) * PEER_DESCRIPTOR_SHARE);
  return {
    ...INTERNAL_LIMITS,
    connections: Math.max(1, Math.min(MAX_PEER_CONNECTIONS, share)),
    heldBytes: PEER_HELD_BYTES,
  };
}

/** Returns the limits for callers; what the settings don't state follows from the machine. */
export function callerLimits(settings: NodeSettings): GuardLimits {
  const memoryMb = statedMemoryMb(settings);
  const callerDescriptors = statedDescriptors(settings) * CALLER_DESCRIPTOR_SHARE;
  return {
    ...DEFAULT_TIMES,
    connections: Math.max(1, Math.floor(Math.min(callerDescriptors, memoryMb * CONNECTIONS_PER_MB))),
    headerBytes: DEFAULT_BOUNDS.headerBytes,
    heldBytes: Math.floor(memoryMb * HELD_BYTES_PER_MB),
    pipelinedRequests: DEFAULT_PIPELINED_REQUESTS,
    ...settings.callerLimits,
  };
}

/** Returns the most bytes of jobs that are being stored for callers. */
export function submissionBytes(settings: NodeSettings): number {
  return settings.callerLimits?.submissionBytes ?? statedMemoryMb(settings) * SUBMISSION_BYTES_PER_MB;
}

/** Returns the bounds of requests by the limits of the configuration in force, if there is one. */
export function requestBounds(limits: RequestLimits | undefined): RequestBounds {
  if (limits === undefined) {
    return DEFAULT_BOUNDS;
  }
  return {
    bodyBytes: limits.maxBodyBytes,
    headerBytes: limits.maxHeaderBytes,
    headerMs: limits.headerTimeoutMs,
    idleMs: limits.idleTimeoutMs,
  };
}

function statedMemoryMb({ memoryMb }: NodeSettings): number {
  return isStated(memoryMb) ? memoryMb : DEFAULT_MEMORY_MB;
}

// Without those for files.
function statedDescriptors({ fileDescriptors }: NodeSettings): number {
  return (isStated(fileDescriptors) ? fileDescriptors : DEFAULT_FILE_DESCRIPTORS) - RESERVED_DESCRIPTORS;
}

// 0 means that a size is not known.
function isStated(size: number | undefined): size is number {
  return size !== undefined && size > 0;
}
