import { describe, expect, it } from 'vitest';
import type { LeaderRecord } from '../../src/jobs/job-record';
import { decodeJobRecord, encodeJobRecord } from '../../src/jobs/job-record';
import { Succession } from '../../src/jobs/succession';

const TIMES = {
  handoverIntervalMs: 15_000,
  holdBackMs: 500,
  maxRequestDelayMs: 1000,
  maxUnfitDelayMs: 600,
  minReachableMs: 3000,
  minTermMs: 3000,
  quietAfterLossMs: 30_000,
  requestIntervalMs: 5000,
};

function nodeOf(fitness: number, node = 'me'): Succession {
  return new Succession({ ...TIMES, fitness, node });
}

function heartbeat(fitness: number | undefined, changes: Partial<LeaderRecord> = {}): LeaderRecord {
  return { epoch: 7, fitness, kind: 'leader', node: 'leader', released: false, ...changes };
}

function requestOf(node: string, fitness: number) {
  return { epoch: 7, fitness, kind: 'leader-request', node } as const;
}

// Guards against leadership that stays with an unfit node, and against hand-overs without end.
describe('Succession', () => {
  it('requests the leadership of a much less fit leader after its minimum term and a random delay', () => {
    const node = nodeOf(1);
    node.onHeartbeat(heartbeat(0.25), 0);
    expect(node.takeRequest(2999, 0, 0.5)).toBeUndefined();
    expect(node.takeRequest(3000, 0, 0.5)).toBeUndefined();
    expect(node.takeRequest(3499, 0, 0.9)).toBeUndefined();
    expect(node.takeRequest(3500, 0, 0.9)).toEqual(requestOf('me', 1));
    expect(node.takeRequest(3550, 0, 0)).toBeUndefined();
  });

  it.each<[name: string, own: number, leader: LeaderRecord]>([
    ['an equal node', 1, heartbeat(1)],
    ['a node that is fitter by less than half', 1, heartbeat(0.51)],
    ['a less fit node', 0.25, heartbeat(1)],
    ['a node of which nothing is known', 0, heartbeat(0)],
    ['a node that follows a leader of unstated fitness', 1, heartbeat(undefined)],
    ['a node after the release of leadership', 1, heartbeat(0.25, { released: true })],
    ['the leader itself', 1, heartbeat(0.25, { node: 'me' })],
  ])('never requests the leadership from %s', (_, own, leader) => {
    const node = nodeOf(own);
    node.onHeartbeat(leader, 0);
    for (let now = 0; now < 60_000; now += 50) {
      expect(node.takeRequest(now, 0, 0)).toBeUndefined();
    }
  });

  it.each<[name: string, until: number, prepare: (node: Succession) => void]>([
    [
      'another node has requested recently',
      9000,
      (node) => {
        node.onRequest(requestOf('other', 1), 4000);
      },
    ],
    [
      'it lost its own term',
      34_000,
      (node) => {
        node.onTermLost(4000);
      },
    ],
    [
      'leadership was handed over recently',
      19_000,
      (node) => {
        node.onHeartbeat(heartbeat(0.25, { released: true, successor: 'other' }), 4000);
        node.onHeartbeat(heartbeat(0.25, { epoch: 8, node: 'other' }), 4000);
      },
    ],
  ])('waits while %s', (_, until, prepare) => {
    const node = nodeOf(1);
    node.onHeartbeat(heartbeat(0.25), 0);
    prepare(node);
    expect(node.takeRequest(until - 1, 0, 0)).toBeUndefined();
    expect(node.takeRequest(until, 0, 0)).toBeDefined();
  });

  it('does not request while the stream of jobs is unreachable or has only just become reachable', () => {
    const node = nodeOf(1);
    node.onHeartbeat(heartbeat(0.25), 0);
    expect(node.takeRequest(10_000, undefined, 0)).toBeUndefined();
    expect(node.takeRequest(10_000, 7001, 0)).toBeUndefined();
    expect(node.takeRequest(10_001, 7001, 0)).toBeDefined();
  });

  it('accepts a request for the own term from a much fitter node only', () => {
    const leader = nodeOf(0.25, 'leader');
    leader.onHeartbeat(heartbeat(0.25), 0);
    expect(leader.accepts(requestOf('other', 1), 7, 1000)).toBe(false);
    expect(leader.accepts(requestOf('other', 1), 7, 3000)).toBe(true);
    expect(leader.accepts(requestOf('other', 0.4), 7, 3000)).toBe(false);
    expect(leader.accepts({ ...requestOf('other', 1), epoch: 6 }, 7, 3000)).toBe(false);
    expect(leader.accepts(requestOf('leader', 1), 7, 3000)).toBe(false);
  });

  it('delays a candidate by how much less fit it is than the fittest known node, within bounds', () => {
    const node = nodeOf(0.25);
    expect(node.extraDelayMs).toBe(0);
    node.onHeartbeat(heartbeat(0.25), 0);
    expect(node.extraDelayMs).toBe(0);
    node.onHeartbeat(heartbeat(1), 0);
    expect(node.extraDelayMs).toBe(450);
    node.onHeartbeat(heartbeat(1e9), 0);
    expect(node.extraDelayMs).toBeLessThanOrEqual(600);
  });

  it('leaves a released leadership to the named successor for a while', () => {
    const released = heartbeat(0.25, { released: true, successor: 'other' });
    const other = nodeOf(1, 'other');
    other.onHeartbeat(released, 0);
    expect([other.isSuccessor, other.extraDelayMs]).toEqual([true, 0]);
    const node = nodeOf(1);
    node.onHeartbeat(released, 0);
    expect([node.isSuccessor, node.extraDelayMs]).toEqual([false, 500]);
    node.onHeartbeat(heartbeat(1, { epoch: 8, node: 'other' }), 10);
    expect(node.extraDelayMs).toBe(0);
  });
});

describe('records of the succession', () => {
  it.each([
    ['heartbeat', heartbeat(0.25)],
    ['heartbeat of unstated fitness', heartbeat(undefined)],
    ['release', heartbeat(0.25, { released: true, successor: 'other' })],
    ['request', requestOf('me', 1)],
  ])('are decoded as they were encoded: %s', (_, record) => {
    const [encoded] = encodeJobRecord(record);
    expect(decodeJobRecord(encoded?.key ?? '', encoded?.value)._unsafeUnwrap()).toEqual(record);
  });
});
