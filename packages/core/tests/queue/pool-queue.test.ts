import { describe, expect, it } from 'vitest';
import type {
  PoolGrant,
  PoolQueueDependencies,
  QueueRequest,
  QueueSettings,
  TeamPolicy,
} from '../../src/index';
import { DEFAULT_QUEUE_SETTINGS, PoolQueue, RunTimeClassifier } from '../../src/index';

const NONE: ReadonlySet<string> = new Set();

interface Setup {
  classifier: RunTimeClassifier;
  queue: PoolQueue;
}

function setup(
  settings: Partial<QueueSettings> & { reserved?: number },
  targets: Record<string, number>,
  teamOf: PoolQueueDependencies['teamOf'] = () => ({ quota: undefined, weight: 1 }),
): Setup {
  const classifier = new RunTimeClassifier();
  for (let index = 0; index < 10; index += 1) {
    classifier.record('short', 50);
    classifier.record('long', 1500);
  }
  const queue = new PoolQueue({
    classifier,
    seed: 1,
    settings: { ...DEFAULT_QUEUE_SETTINGS, ...settings },
    teamOf,
  });
  queue.setTargets(
    Object.entries(targets).map(([vm, slots]) => ({ slots, vm })),
    settings.reserved ?? 0,
  );
  return { classifier, queue };
}

function request(id: string, over: Partial<QueueRequest> = {}): QueueRequest {
  return {
    bytes: 10,
    deadlineAt: 60_000,
    excluded: NONE,
    id,
    job: 'short',
    member: 'entry-0',
    team: 'voyages',
    urgent: false,
    ...over,
  };
}

function ids(grants: readonly { id: string }[]): string[] {
  return grants.map((grant) => grant.id);
}

// Grants one request at a time, releases it at once and returns the order of the grants.
function order(queue: PoolQueue, now: number): string[] {
  const seen: string[] = [];
  for (;;) {
    const grant: PoolGrant | undefined = queue.dispatch(now).granted[0];
    if (grant === undefined) {
      return seen;
    }
    seen.push(grant.id);
    queue.release(grant.id, undefined);
  }
}

describe('PoolQueue order', () => {
  // Guards against short or urgent requests that wait behind long ones.
  it('grants urgent before other, then short before long, then in order of arrival', () => {
    const { queue } = setup({}, { a: 1 });
    queue.offer(request('long', { job: 'long' }), 0);
    queue.offer(request('short-1'), 0);
    queue.offer(request('short-2'), 0);
    queue.offer(request('urgent-long', { job: 'long', urgent: true }), 0);
    queue.offer(request('urgent-short', { urgent: true }), 0);
    expect(order(queue, 1)).toEqual(['urgent-short', 'urgent-long', 'short-1', 'short-2', 'long']);
  });

  // Guards against a continuous stream of urgent work that starves other work.
  it('grants other work after a burst of urgent grants once it exceeds the starvation bound', () => {
    const { queue } = setup({ starvationBoundMs: 100, urgentBurst: 2 }, { a: 1 });
    queue.offer(request('other'), 0);
    for (const id of ['u1', 'u2', 'u3']) {
      queue.offer(request(id, { urgent: true }), 150);
    }
    expect(order(queue, 151)).toEqual(['u1', 'u2', 'other', 'u3']);
  });

  // Guards against the starvation bound making urgent work miss its wait target.
  it('suspends the burst limit when urgent work has waited for half its target', () => {
    const { queue } = setup({ starvationBoundMs: 100, urgentBurst: 1, urgentTargetMs: 4600 }, { a: 1 });
    for (const id of ['u1', 'u2']) {
      queue.offer(request(id, { urgent: true }), 0);
    }
    queue.offer(request('other'), 0);
    expect(order(queue, 2300)).toEqual(['u1', 'u2', 'other']);
  });

  // Guards against a busy team that gets more than its weighted share.
  it('shares slots between teams by weight', () => {
    const weights: Record<string, number> = { large: 3, small: 1 };
    const { queue } = setup({}, { a: 1 }, (team) => ({ quota: undefined, weight: weights[team] ?? 1 }));
    for (let index = 0; index < 40; index += 1) {
      queue.offer(request(`large-${index}`, { team: 'large' }), 0);
      queue.offer(request(`small-${index}`, { team: 'small' }), 0);
    }
    const first = order(queue, 1).slice(0, 40);
    expect(first.filter((id) => id.startsWith('large'))).toHaveLength(30);
  });
});

describe('PoolQueue slots', () => {
  // Guards against long work that occupies every slot.
  it('reserves slots for short work, also against urgent long work', () => {
    const { queue } = setup({ reserved: 2 }, { a: 2, b: 2 });
    for (let index = 0; index < 4; index += 1) {
      queue.offer(request(`long-${index}`, { job: 'long', urgent: index % 2 === 0 }), 0);
    }
    expect(queue.dispatch(0).granted).toHaveLength(2);
    queue.offer(request('short'), 1);
    expect(ids(queue.dispatch(1).granted)).toEqual(['short']);
  });

  // Guards against unknown long jobs that occupy the slots reserved for short work.
  it('reclassifies runs that exceed the threshold and moves queued requests of their job', () => {
    const { queue } = setup({ reserved: 1 }, { a: 2 });
    queue.offer(request('first', { job: 'unknown' }), 0);
    expect(queue.dispatch(0).granted[0]?.class).toBe('short');
    queue.updateGrants(251);
    queue.offer(request('second', { job: 'unknown' }), 252);
    queue.offer(request('short'), 253);
    expect(ids(queue.dispatch(253).granted)).toEqual(['short']);
  });

  // Guards against long work that never runs because the pool has shrunk to its reserved slots.
  it('leaves one slot to long work when all slots would be reserved', () => {
    const { queue } = setup({ reserved: 8 }, { a: 2 });
    queue.offer(request('l1', { job: 'long' }), 0);
    queue.offer(request('l2', { job: 'long' }), 0);
    expect(ids(queue.dispatch(0).granted)).toEqual(['l1']);
  });

  // Guards against idle slots on the remaining VMs while another VM drains.
  it('does not count grants on a draining VM against the slots of other VMs', () => {
    const { queue } = setup({ reserved: 1 }, { a: 2 });
    queue.offer(request('l1', { job: 'long' }), 0);
    queue.offer(request('s1'), 0);
    queue.dispatch(0);
    queue.setTargets([{ slots: 2, vm: 'b' }], 1);
    queue.offer(request('l2', { job: 'long' }), 1);
    queue.offer(request('s2'), 1);
    expect(ids(queue.dispatch(1).granted)).toEqual(['s2', 'l2']);
  });

  it('avoids excluded VMs and skips a request whose VMs are all excluded', () => {
    const { queue } = setup({}, { a: 1, b: 1 });
    queue.offer(request('one', { excluded: new Set(['a', 'b']) }), 0);
    queue.offer(request('two', { excluded: new Set(['a']) }), 0);
    expect(queue.dispatch(0).granted.map(({ id, vm }) => [id, vm])).toEqual([['two', 'b']]);
  });

  it('releases a grant that is not renewed', () => {
    const { queue } = setup({ leaseMs: 1000 }, { a: 2 });
    queue.offer(request('kept'), 0);
    queue.offer(request('lost'), 0);
    queue.dispatch(0);
    expect(queue.renew('kept', 900)).toBe(true);
    expect(ids(queue.updateGrants(1000))).toEqual(['lost']);
    expect(queue.release('lost', 5)).toBeUndefined();
    expect(queue.renew('lost', 1001)).toBe(false);
  });

  // Guards against a new owner that grants slots that are already in use.
  it('counts grants that members report to a new owner', () => {
    const { queue } = setup({ leaseMs: 1000 }, { a: 1 });
    const reported = [{ id: 'old', job: 'long', ranMs: 700, team: 'voyages', vm: 'a' }];
    expect(ids(queue.adopt('entry-1', reported, 0))).toEqual(['old']);
    expect(queue.adopt('entry-1', reported, 500)).toEqual([]);
    queue.offer(request('next'), 600);
    expect(queue.dispatch(600).granted).toEqual([]);
    queue.release('old', 1300);
    expect(ids(queue.dispatch(700).granted)).toEqual(['next']);
  });
});

describe('PoolQueue admission', () => {
  it('frees queue length and bytes as soon as a request is cancelled', () => {
    const { queue } = setup({ maxQueued: 3, maxQueuedBytes: 25 }, { a: 1 });
    queue.offer(request('running'), 0);
    queue.dispatch(0);
    expect(queue.offer(request('q1'), 0).isOk()).toBe(true);
    expect(queue.offer(request('q2'), 0).isOk()).toBe(true);
    expect(queue.offer(request('q3'), 0)._unsafeUnwrapErr().reason).toBe('queue-full');
    expect(queue.cancel('q1', 1)).toBe(true);
    expect(queue.cancel('q1', 1)).toBe(false);
    expect(queue.offer(request('q3'), 1).isOk()).toBe(true);
    expect([queue.queued, queue.queuedBytes]).toEqual([2, 20]);
  });

  // Guards against cancellations whose cost grows with the queue: in an array, 20,000 took quadratic time.
  it('handles 20,000 cancellations from the middle of the queue', () => {
    const { queue } = setup({ maxQueued: 20_001, maxQueuedBytes: 1e9 }, { a: 1 });
    const waiting = Array.from({ length: 20_000 }, (_, index) => request(`r${index}`, { deadlineAt: 1e9 }));
    for (const req of waiting) {
      queue.offer(req, 0);
    }
    for (const req of waiting.slice(1, -1).toReversed()) {
      queue.cancel(req.id, 1);
    }
    expect(order(queue, 2)).toEqual(['r0', 'r19999']);
  });

  // Guards against requests that wait although they cannot start within their deadline.
  it('refuses a request on arrival that cannot start within its deadline, and reports the expected wait', () => {
    const { queue } = setup({}, { a: 1 });
    for (let index = 0; index < 21; index += 1) {
      queue.offer(request(`q${index}`), 0);
    }
    queue.dispatch(0);
    const refusal = queue.offer(request('late', { deadlineAt: 500 }), 0)._unsafeUnwrapErr();
    expect(refusal.reason).toBe('deadline-unreachable');
    expect(refusal.waitMs).toBeGreaterThan(900);
    expect(refusal.waitMs).toBeLessThan(1100);
  });

  it('drops requests whose deadline passes in the queue', () => {
    const { queue } = setup({}, { a: 1 });
    queue.offer(request('late', { deadlineAt: 10 }), 0);
    queue.offer(request('in-time'), 0);
    const effects = queue.dispatch(10);
    expect([ids(effects.granted), ids(effects.expired)]).toEqual([['in-time'], ['late']]);
  });

  it('enforces the quota of running and queued requests for each team', () => {
    const policy: TeamPolicy = { quota: { inFlight: 1, queued: 1 }, weight: 1 };
    const { queue } = setup({}, { a: 4 }, () => policy);
    queue.offer(request('running'), 0);
    queue.offer(request('waiting'), 0);
    expect(queue.offer(request('more'), 0)._unsafeUnwrapErr().reason).toBe('quota');
    expect(queue.offer(request('other', { team: 'office' }), 0).isOk()).toBe(true);
    expect(ids(queue.dispatch(0).granted)).toEqual(['running', 'other']);
  });

  it('refuses requests for a pool without targets', () => {
    const { queue } = setup({}, {});
    expect(queue.offer(request('any'), 0)._unsafeUnwrapErr().reason).toBe('no-target');
  });
});
