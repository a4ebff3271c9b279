import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { Grant } from '../src/grant-source';
import type { TestMember } from './support/members';
import { createGrantRequest, poolState, TestMembers } from './support/members';

let members: TestMembers | undefined;

afterEach(() => {
  members?.stop();
});

async function start(targets: Record<string, number>): Promise<[TestMembers, TestMember, TestMember]> {
  members = new TestMembers(poolState(targets));
  const first = await members.add('entry-0');
  const second = await members.add('entry-1');
  return [members, first, second];
}

async function acquire(member: TestMember, waitMs: number): Promise<Grant | undefined> {
  const grant = await member.queueing.grants.acquire(createGrantRequest(), AbortSignal.timeout(waitMs));
  return grant.unwrapOr(undefined as unknown as Grant);
}

describe('grants of a queue owner', () => {
  // Guards against several entries that each use all slots of a target.
  it('leases each slot once, regardless of the requesting entry', async () => {
    const [cluster, owner, other] = await start({ a: 2 });
    cluster.setOwner('entry-0');
    const grants = [await acquire(owner, 2000), await acquire(other, 2000)];
    expect(grants.map((grant) => grant?.vm)).toEqual(['a', 'a']);
    const third = acquire(other, 3000);
    expect(await Promise.race([third, delay(300, 'waits')])).toBe('waits');
    grants[0]?.release({ ok: true, runMs: 5 });
    expect((await third)?.vm).toBe('a');
  });

  // Guards against the release of a VM on which a request granted to another entry is running.
  it("counts another entry's grant in the owner's in-flight count until it is released", async () => {
    const [cluster, owner, other] = await start({ a: 2 });
    cluster.setOwner('entry-0');
    const grant = await acquire(other, 2000);
    expect([owner.inFlight.granted('a'), other.inFlight.count('a')]).toEqual([1, 1]);
    grant?.release({ ok: true, runMs: 5 });
    await delay(100);
    expect([owner.inFlight.granted('a'), other.inFlight.count('a')]).toEqual([0, 0]);
  });

  // Guards against queued requests of disconnected callers that use slots needed by waiting callers.
  it('removes the queued request of a caller that disconnects', async () => {
    const [cluster, owner, other] = await start({ a: 1 });
    cluster.setOwner('entry-0');
    const held = await acquire(owner, 2000);
    const caller = new AbortController();
    const left = other.queueing.grants.acquire(createGrantRequest(), caller.signal);
    await delay(100);
    caller.abort();
    expect((await left).isErr()).toBe(true);
    const next = acquire(owner, 2000);
    await delay(50);
    held?.release({ ok: true, runMs: 5 });
    expect((await next)?.vm).toBe('a');
    expect([owner.inFlight.granted('a'), owner.inFlight.count('a')]).toEqual([1, 1]);
  });

  // Guards against a new owner that grants slots that are still in use.
  it('restores the grants in use after a change of owner', async () => {
    const [cluster, first, second] = await start({ a: 2 });
    const [next, former] = cluster.makeAllLive() === first.name ? [first, second] : [second, first];
    cluster.setOwner(former.name);
    const kept = await acquire(former, 2000);
    const released = await acquire(next, 2000);
    cluster.makeAllLive();
    const third = acquire(former, 3000);
    expect(await Promise.race([third, delay(600, 'waits')])).toBe('waits');
    released?.release({ ok: true, runMs: 5 });
    expect((await third)?.vm).toBe('a');
    expect(kept?.isValid()).toBe(true);
  });
});

describe('entries without a responsive owner', () => {
  it('use their member share of each target', async () => {
    const [cluster, , second] = await start({ a: 4 });
    cluster.setOwner('entry-0');
    cluster.members[0]?.server.close();
    cluster.live = [{ address: '127.0.0.1:1', name: 'entry-0' }];
    const grants = [await acquire(second, 2000), await acquire(second, 2000)];
    expect(grants.map((grant) => grant?.vm)).toEqual(['a', 'a']);
    expect(await acquire(second, 300)).toBeUndefined();
    expect(second.queueing.grants.counters.fromMemberShare).toBe(2);
  });

  // Guards against requests of an entry for which a drain does not wait.
  it('get no grants before they have joined in the log', async () => {
    members = new TestMembers(poolState({ a: 4 }));
    const alone = await members.add('entry-0', false);
    expect(await acquire(alone, 400)).toBeUndefined();
    await members.add('entry-1');
    expect((await acquire(alone, 2000))?.vm).toBe('a');
    expect(alone.queueing.grants.counters).toMatchObject({ fromOwner: 1, fromMemberShare: 0 });
  });
});
