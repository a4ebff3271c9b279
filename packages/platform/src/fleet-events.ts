import type { EventRing, TimelineEvent } from '@sequoiaquay/runtime';
import { fleetRecordSchema } from '@sequoiaquay/core';
import type { FleetReplica, FleetApplyResult } from './fleet-replica';
import type { LogEntry } from './log-client';

/** Fields that name what a record is about, the most telling first. */
const SUBJECT_FIELDS = ['vm', 'member', 'team', 'wave'] as const;

/**
 * Puts an event into the ring for each record that the replica applies once it is caught up.
 * Records from before that are history and would all carry the time of the start.
 */
export function recordFleetEvents(replica: FleetReplica, ring: EventRing, signal: AbortSignal): void {
  replica.subscribe((entry, verdict) => {
    if (replica.caughtUp) {
      recordEvent(ring, entry, verdict);
    }
  }, signal);
}

function recordEvent(ring: EventRing, entry: LogEntry, verdict: FleetApplyResult): void {
  const record = fleetRecordSchema.safeParse(entry.value);
  const refused: TimelineEvent['data'] = verdict.isErr()
    ? { detail: verdict.error.detail, reason: verdict.error.reason }
    : {};
  if (!record.success) {
    ring.add('unreadable', String(entry.offset), refused);
    return;
  }
  // The writer's clock moves this one, so that the event of a record never comes before its cause.
  ring.observe({ count: 0, ms: record.data.at });
  const fields = new Map(Object.entries<unknown>(record.data));
  const field = SUBJECT_FIELDS.find((name) => fields.has(name));
  const subject = field === undefined ? record.data.id : String(fields.get(field));
  ring.add(record.data.kind, subject, {
    accepted: verdict.isOk(),
    by: record.data.by,
    offset: entry.offset,
    record: record.data.id,
    ...refused,
  });
}
