import { describe, expect, it } from 'vitest';
import type { MoveOrder, PoolLoad, VmInfo } from '../../src/jobs';
import { PoolBalancer, Worker } from '../../src/jobs';
import { worker } from '../jobs/support/jobs';

const SPARE = new Set(['spare']);

class Fleet {
  readonly ended: string[] = [];
  readonly vms: VmInfo[] = [];
  readonly workers = new Map<string, Worker>();
  labels = new Map<string, Map<string, number>>();
  near = new Map<string, Set<string>>();
  waiting = new Map<string, number>();

  add(pool: string, id: string): Worker {
    const added = new Worker(worker(id, { pool }), 0);
    added.isFenced = true;
    this.workers.set(id, added);
    this.vms.push({ id: `vm-${id}`, labels: [], pool, rack: 'r', state: 'up', workerId: id, zone: 'z' });
    return added;
  }

  loads(now: number): PoolLoad[] {
    return ['busy', 'idle'].map((pool) => ({
      endingCpuMilli: this.waiting.get(pool) ?? 0,
      floor: 0,
      nearLabels: this.near.get(pool) ?? new Set(),
      open: [...this.workers.values()].filter((item) => item.info.pool === pool && item.isAssignable(now)),
      pool,
      reservedCpuMilli: 0,
      waitingByLabel: this.labels.get(pool) ?? new Map(),
      waitingCpuMilli: this.waiting.get(pool) ?? 0,
    }));
  }

  onWorkerEnded(ended: Worker): void {
    this.ended.push(ended.info.id);
  }
}

function fleet(): { balancer: PoolBalancer; fleet: Fleet } {
  const made = new Fleet();
  made.add('busy', 'b1');
  made.add('idle', 'i1');
  made.add('idle', 'i2');
  made.add('idle', 'i3');
  const balancer = new PoolBalancer(made, () => undefined);
  balancer.onVms(made.vms, 0);
  return { balancer, fleet: made };
}

function ordersAt(balancer: PoolBalancer, now: number): MoveOrder[] {
  return balancer.plan(now, now, SPARE).orders;
}

describe('PoolBalancer', () => {
  it('moves idle VMs to a pool whose jobs wait, and counts them as on their way', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 40_000);
    expect(ordersAt(balancer, 10).map((order) => order.pool)).toEqual(['busy', 'busy']);
    expect(ordersAt(balancer, 20)).toEqual([]);
  });

  it('gives each VM to the pool that has the smallest part of what it needs', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 40_000);
    made.waiting.set('idle', 20_000);
    for (const id of ['s1', 's2', 's3', 's4']) {
      made.add('spare', id);
    }
    balancer.onVms(made.vms, 5);
    const pools = ordersAt(balancer, 10).map((order) => order.pool);
    expect(pools).toEqual(['busy', 'busy', 'busy', 'busy']);
    expect(ordersAt(balancer, 20)).toEqual([]);
  });

  it('takes no VM that a pool keeps for its peak for a pool that is less short of its needs', () => {
    const { balancer, fleet: made } = fleet();
    // The busy pool has one of the three that it wants, the other keeps three.
    made.waiting.set('busy', 4000);
    expect(ordersAt(balancer, 10).map((order) => order.pool)).toEqual(['busy']);
    expect(ordersAt(balancer, 20)).toEqual([]);
  });

  it('counts workers like those of other pools for a pool that has none', () => {
    const { balancer, fleet: made } = fleet();
    made.workers.get('b1')?.runs.clear();
    made.workers.delete('b1');
    made.waiting.set('busy', 40_000);
    expect(ordersAt(balancer, 10).map((order) => order.pool)).toEqual(['busy', 'busy']);
  });

  it('brings the VMs with a label that waiting tasks require, whatever else the pool has', () => {
    const { balancer, fleet: made } = fleet();
    made.add('busy', 'b2');
    made.add('spare', 's1');
    made.add('spare', 's2').info.labels = ['big'];
    made.vms.forEach((vm) => (vm.labels = vm.id === 'vm-s2' ? ['big'] : []));
    made.waiting.set('busy', 1000);
    made.labels.set('busy', new Map([['big', 1000]]));
    balancer.onVms(made.vms, 5);
    expect(ordersAt(balancer, 10)).toEqual([{ pool: 'busy', vm: 'vm-s2' }]);
    expect(ordersAt(balancer, 20)).toEqual([]);
  });

  it('brings none with a label while a worker that has it has room for what waits', () => {
    const { balancer, fleet: made } = fleet();
    made.add('busy', 'b2').info.labels = ['big'];
    made.add('spare', 's2');
    made.vms.forEach((vm) => (vm.labels = ['vm-b2', 'vm-s2'].includes(vm.id) ? ['big'] : []));
    made.waiting.set('busy', 1000);
    made.labels.set('busy', new Map([['big', 1000]]));
    balancer.onVms(made.vms, 5);
    expect(ordersAt(balancer, 10)).toEqual([]);
  });

  it('brings any VM when none has the label, as far as the pool is short', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 4000);
    made.labels.set('busy', new Map([['big', 4000]]));
    expect(ordersAt(balancer, 10).map((order) => order.pool)).toEqual(['busy']);
  });

  it('prefers VMs in a rack with the data of the waiting jobs', () => {
    const { balancer, fleet: made } = fleet();
    for (const id of ['s1', 's2', 's3']) {
      made.add('spare', id);
    }
    made.vms.forEach((vm) => (vm.labels = [vm.id === 'vm-s3' ? 'r-data' : 'r-other']));
    made.near.set('busy', new Set(['r-data']));
    made.waiting.set('busy', 3000);
    balancer.onVms(made.vms, 5);
    expect(ordersAt(balancer, 10)).toEqual([{ pool: 'busy', vm: 'vm-s3' }]);
  });

  it('never moves a VM whose worker has tasks', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 40_000);
    for (const id of ['i1', 'i2', 'i3']) {
      made.workers.get(id)?.runs.set('t', {} as never);
    }
    expect(ordersAt(balancer, 10)).toEqual([]);
  });

  it('assigns nothing to the worker of a VM that is about to move', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 4000);
    const [order] = ordersAt(balancer, 10);
    const id = order?.vm.slice('vm-'.length) ?? '';
    expect(made.workers.get(id)?.isAssignable(20)).toBe(false);
    balancer.onAnswer({ pool: 'busy', vm: `vm-${id}` }, 'moved', 30);
    expect(made.ended).toEqual([id]);
  });

  it('lets the worker of a VM work on when its move was refused', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 4000);
    const [order] = ordersAt(balancer, 10);
    const id = order?.vm.slice('vm-'.length) ?? '';
    balancer.onAnswer({ pool: 'busy', vm: `vm-${id}` }, 'refused', 30);
    expect(made.workers.get(id)?.isAssignable(40)).toBe(true);
  });

  it('repeats an order that had no clear answer, since repeats are harmless', () => {
    const { balancer, fleet: made } = fleet();
    made.waiting.set('busy', 1000);
    const [order] = ordersAt(balancer, 10);
    balancer.onAnswer(order ?? { pool: '', vm: '' }, 'unknown', 20);
    expect(ordersAt(balancer, 1000)).toContainEqual(order);
  });

  it('parks VMs that no pool needs after a while, and keeps one', () => {
    const { balancer } = fleet();
    expect(ordersAt(balancer, 10)).toEqual([]);
    const orders = ordersAt(balancer, 60_000);
    expect(orders.map((order) => order.pool)).toEqual(['spare', 'spare']);
  });

  it('keeps the size that the operators gave a pool on until its peaks have been seen', () => {
    const { balancer } = fleet();
    ordersAt(balancer, 10);
    expect(ordersAt(balancer, 8000)).toEqual([]);
  });
});
