import { DEFAULT_QUEUE_SETTINGS, PoolQueue, RunTimeClassifier } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import type { AcquireMessage } from '../src/queue-messages';
import { InFlight } from '../src/in-flight';
import { OwnedQueue } from '../src/owned-queue';

function create(holdUntil = 0): { inFlight: InFlight; queue: OwnedQueue } {
  const inFlight = new InFlight(() => undefined);
  const queue = new OwnedQueue(
    new PoolQueue({
      classifier: new RunTimeClassifier(),
      seed: 1,
      settings: { ...DEFAULT_QUEUE_SETTINGS, leaseMs: 1000 },
      teamOf: () => ({ quota: undefined, weight: 1 }),
    }),
    inFlight,
    { holdUntil, leaseMs: 1000 },
  );
  queue.refresh([{ address: '127.0.0.1:1', slots: 1, vm: 'a' }], 0);
  return { inFlight, queue };
}

function message(id: string): AcquireMessage {
  const place = { id, job: 'quote', member: 'entry-1', pool: 'bookings', team: 'voyages' };
  return { ...place, bytes: 1, excluded: [], leftMs: 60_000, urgent: false, waitMs: 1000 };
}

const nobody = (): string[] => [];

describe('owned queue', () => {
  // Guards against a VM that never drains because a member died with its grant.
  it('ends the in-flight count of a grant that expires', () => {
    const { inFlight, queue } = create();
    queue.poll(message('one'), 0);
    queue.pump(0, nobody);
    expect(queue.poll(message('one'), 0)).toMatchObject({ kind: 'granted', vm: 'a' });
    queue.answered('one');
    queue.renew(['one'], 900);
    queue.tick(1800, nobody);
    expect(inFlight.granted('a')).toBe(1);
    queue.tick(1900, nobody);
    expect(inFlight.granted('a')).toBe(0);
    expect(queue.renew(['one'], 1900)).toEqual(['one']);
  });

  // Guards against places that nobody polls any more.
  it('drops a place or a grant that its member does not come back for', () => {
    const { inFlight, queue } = create();
    queue.poll(message('granted'), 0);
    queue.poll(message('waiting'), 0);
    queue.pump(0, nobody);
    queue.tick(900, nobody);
    queue.poll(message('waiting'), 900);
    queue.tick(2500, nobody);
    expect(queue.poll(message('waiting'), 2500)).toMatchObject({ kind: 'granted' });
    queue.answered('waiting');
    expect(inFlight.granted('a')).toBe(1);
  });

  // Guards against a new owner that grants slots before it knows what is in use.
  it('grants nothing until the others have reported or the hold has passed', () => {
    const { queue } = create(250);
    queue.poll(message('one'), 0);
    queue.pump(0, () => ['entry-1']);
    expect(queue.poll(message('one'), 0)).toBeUndefined();
    queue.report({ grants: [], member: 'entry-1', pool: 'bookings' }, 10);
    queue.pump(10, () => ['entry-1']);
    expect(queue.poll(message('one'), 10)).toMatchObject({ kind: 'granted' });
    const late = create(250).queue;
    late.poll(message('one'), 0);
    late.tick(250, () => ['entry-1']);
    expect(late.poll(message('one'), 250)).toMatchObject({ kind: 'granted' });
  });
});
