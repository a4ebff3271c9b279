import { DEFAULT_QUEUE_SETTINGS, PoolQueue, RunTimeClassifier } from '@sequoiaquay/core';
import { describe, expect, it } from 'vitest';
import type { AcquireMessage } from '../src/queue-messages';
import { InFlight } from '../src/in-flight';
import { OwnedQueue } from '../src/owned-queue';

function createQueue(holdUntil = 0): { inFlight: InFlight; queue: OwnedQueue } {
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
  queue.setTargets([{ address: '127.0.0.1:1', slots: 1, vm: 'a' }], 0);
  return { inFlight, queue };
}

function createMessage(id: string): AcquireMessage {
  const common = { id, job: 'quote', member: 'entry-1', pool: 'bookings', team: 'voyages' };
  return { ...common, bytes: 1, excluded: [], leftMs: 60_000, urgent: false, waitMs: 1000 };
}

const noMembers = (): string[] => [];

describe('owned queue', () => {
  // Guards against a VM that never drains because a member ended without releasing its grant.
  it('removes an expired grant from the in-flight count', () => {
    const { inFlight, queue } = createQueue();
    queue.poll(createMessage('one'), 0);
    queue.dispatch(0, noMembers);
    expect(queue.poll(createMessage('one'), 0)).toMatchObject({ kind: 'granted', vm: 'a' });
    queue.removeAnswered('one');
    queue.renew(['one'], 900);
    queue.expireAndDispatch(1800, noMembers);
    expect(inFlight.granted('a')).toBe(1);
    queue.expireAndDispatch(1900, noMembers);
    expect(inFlight.granted('a')).toBe(0);
    expect(queue.renew(['one'], 1900)).toEqual(['one']);
  });

  // Guards against requests and grants that are kept although no member polls for them.
  it('drops a request or a grant that its member stops polling for', () => {
    const { inFlight, queue } = createQueue();
    queue.poll(createMessage('granted'), 0);
    queue.poll(createMessage('waiting'), 0);
    queue.dispatch(0, noMembers);
    queue.expireAndDispatch(900, noMembers);
    queue.poll(createMessage('waiting'), 900);
    queue.expireAndDispatch(2500, noMembers);
    expect(queue.poll(createMessage('waiting'), 2500)).toMatchObject({ kind: 'granted' });
    queue.removeAnswered('waiting');
    expect(inFlight.granted('a')).toBe(1);
  });

  // Guards against a new owner that grants slots that are still in use by other members.
  it('grants nothing until all other members have reported or the hold time has passed', () => {
    const { queue } = createQueue(250);
    queue.poll(createMessage('one'), 0);
    queue.dispatch(0, () => ['entry-1']);
    expect(queue.poll(createMessage('one'), 0)).toBeUndefined();
    queue.report({ grants: [], member: 'entry-1', pool: 'bookings' }, 10);
    queue.dispatch(10, () => ['entry-1']);
    expect(queue.poll(createMessage('one'), 10)).toMatchObject({ kind: 'granted' });
    const late = createQueue(250).queue;
    late.poll(createMessage('one'), 0);
    late.expireAndDispatch(250, () => ['entry-1']);
    expect(late.poll(createMessage('one'), 250)).toMatchObject({ kind: 'granted' });
  });
});
