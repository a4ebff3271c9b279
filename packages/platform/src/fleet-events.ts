import type { EventRing, TimelineEvent } from '@sequoiaquay/runtime';
import { fleetRecordSchema } from '@sequoiaquay/core';
import type { FleetApplyResult, FleetReplica } from './fleet-replica';
import type { LogEntry } from './log-client';

/** Record fields that identify the subject of a record, in order of preference. */
const SUBJECT_FIELDS = ['vm', 'member', 'team', 'wave'] as const;

/**
 * Adds an event to the ring for each record that the replica applies after it has caught up.
 * Earlier records are history; their events would all carry the start time of the process.
 */
export function recordFleetEvents(replica: FleetReplica, ring: EventRing, signal: AbortSignal): void {
  replica.subscribe((entry, result) => {
    if (replica.caughtUp) {
      recordEvent(ring, entry, result);
    }
  }, signal);
}

function recordEvent(ring: EventRing, entry: LogEntry, result: FleetApplyResult): void {
  const record = fleetRecordSchema.safeParse(entry.value);
  const refusal: TimelineEvent['data'] = result.isErr()
    ? { detail: result.error.detail, reason: result.error.reason }
    : {};
  if (!record.success) {
    ring.add('unreadable', String(entry.offset), refusal);
    return;
  }
  // Advances the ring's clock past the writer's time, so that the event is ordered after the write.
  ring.observe({ count: 0, ms: record.data.at });
  const fields = new Map(Object.entries<unknown>(record.data));
  const field = SUBJECT_FIELDS.find((name) => fields.has(name));
  const subject = field === undefined ? record.data.id : String(fields.get(field));
  ring.add(record.data.kind, subject, {
    accepted: result.isOk(),
    by: record.data.by,
    offset: entry.offset,
    record: record.data.id,
    ...refusal,
  });
}
