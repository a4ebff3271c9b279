import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService, TimerCallback } from '@sequoiaquay/runtime';
import { emptyFleetState } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import type { Proposer } from '../src/proposer';
import { SnapshotWriter } from '../src/snapshot-writer';

const HOUR_MS = 3_600_000;
const RETENTION_MS = 24 * HOUR_MS;
const NEVER = new AbortController().signal;

function start(records: number): { advance: (ms: number) => void; snapshots: () => number } {
  let now = 1_790_000_000_000;
  let snapshots = 0;
  let check: TimerCallback = () => undefined;
  const timers = {
    every: (_periodMs: number, task: TimerCallback) => {
      check = task;
    },
    now: () => now,
  } as unknown as TimerService;
  const state = { ...emptyFleetState(), next: records };
  const replica = { caughtUp: true, state, subscribe: () => undefined } as unknown as FleetReplica;
  const proposer = {
    propose: () => {
      snapshots += 1;
      return new Promise(() => undefined);
    },
  } as unknown as Proposer;
  const settings = { checkMs: 1, member: 'control-0', retentionMs: RETENTION_MS, retentionRecords: 100_000 };
  new SnapshotWriter(replica, proposer, settings, timers).start(NEVER);
  return {
    advance: (ms) => {
      now += ms;
      check();
    },
    snapshots: () => snapshots,
  };
}

describe('SnapshotWriter', () => {
  // Guards against a quiet fleet whose newest snapshot is trimmed by time, which would lose the state.
  it('writes a snapshot after its share of the retention time, however few records there are', () => {
    const writer = start(3);
    writer.advance(HOUR_MS);
    expect(writer.snapshots()).toBe(0);
    writer.advance(RETENTION_MS / 8);
    expect(writer.snapshots()).toBe(1);
  });

  it('writes none while the stream has no record', () => {
    const writer = start(0);
    writer.advance(RETENTION_MS);
    expect(writer.snapshots()).toBe(0);
  });
});
