import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerCallback, TimerService } from '@sequoiaquay/runtime';
import { emptyFleetState } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import type { Proposer } from '../src/proposer';
import { SnapshotWriter } from '../src/snapshot-writer';

const HOUR_MS = 3_600_000;
const RETENTION_MS = 24 * HOUR_MS;
const NEVER_ABORTED = new AbortController().signal;

function startWriter(records: number): { advance: (ms: number) => void; snapshots: () => number } {
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
  const settings = {
    checkIntervalMs: 1,
    member: 'control-0',
    retentionMs: RETENTION_MS,
    retentionRecords: 100_000,
  };
  new SnapshotWriter(replica, proposer, settings, timers).start(NEVER_ABORTED);
  return {
    advance: (ms) => {
      now += ms;
      check();
    },
    snapshots: () => snapshots,
  };
}

describe('SnapshotWriter', () => {
  // Guards against loss of the state: the log would trim the newest snapshot of an idle fleet by age.
  it('writes a snapshot after its share of the retention time even when there are few records', () => {
    const writer = startWriter(3);
    writer.advance(HOUR_MS);
    expect(writer.snapshots()).toBe(0);
    writer.advance(RETENTION_MS / 8);
    expect(writer.snapshots()).toBe(1);
  });

  it('writes no snapshot while the stream has no records', () => {
    const writer = startWriter(0);
    writer.advance(RETENTION_MS);
    expect(writer.snapshots()).toBe(0);
  });
});
