import { describe, expect, it } from 'vitest';
import type { Demand, StepSpec } from '../../src/jobs';
import type { VmParts } from './support/pool-fleet';
import { job, step } from '../jobs/support/jobs';
import { PoolFleet, SPARE_POOL } from './support/pool-fleet';

/** Time within which a task that fits on no open worker must be running on a VM that was moved, in ms. */
const MOVED_MS = 3500;

const NO_DEMAND: Demand = { cpuMilli: 100, gpus: 0, memoryMb: 10 };

const SPARE: VmParts = { id: 's', pool: SPARE_POOL };

interface Row {
  /** Failure that the row guards against. */
  name: string;
  /** Step whose tasks run before the other job arrives; undefined if nothing runs. */
  running?: StepSpec;
  vms: VmParts[];
  waiting: StepSpec;
}

const ROWS: Row[] = [
  {
    name: 'processor time is free in the sum, but not on one worker',
    running: step({ count: 4, demand: { ...NO_DEMAND, cpuMilli: 1500 }, longRunning: true, maxPerWorker: 1 }),
    vms: [...['a', 'b', 'c', 'd'].map((id) => ({ id, pool: 'p' })), SPARE],
    waiting: step({ demand: { ...NO_DEMAND, cpuMilli: 2600 } }),
  },
  {
    name: 'memory is used up on each worker, processor time is not',
    running: step({ count: 2, demand: { ...NO_DEMAND, memoryMb: 700 }, longRunning: true, maxPerWorker: 1 }),
    vms: [{ id: 'a', pool: 'p' }, { id: 'b', pool: 'p' }, SPARE],
    waiting: step({ demand: { ...NO_DEMAND, memoryMb: 400 } }),
  },
  {
    name: 'the workers are too small for the task, and only one of the spare VMs is large enough',
    vms: [
      { id: 'a', pool: 'p' },
      SPARE,
      { capacity: { cpuMilli: 4000, gpus: 0, memoryMb: 8000 }, id: 't', pool: SPARE_POOL },
    ],
    waiting: step({ demand: { ...NO_DEMAND, memoryMb: 4000 } }),
  },
  {
    name: 'no worker has an accelerator',
    vms: [
      { id: 'a', pool: 'p' },
      SPARE,
      { capacity: { cpuMilli: 4000, gpus: 2, memoryMb: 1000 }, id: 't', pool: SPARE_POOL },
    ],
    waiting: step({ demand: { ...NO_DEMAND, gpus: 1 } }),
  },
  {
    name: 'a best-effort task, which reserves no processor time, requires a label',
    vms: [{ id: 'a', pool: 'p' }, SPARE, { id: 't', labels: ['big'], pool: SPARE_POOL }],
    waiting: step({ fillsIdle: true, requiredLabel: 'big' }),
  },
  {
    name: 'memory is used up on the only worker with the label',
    running: step({ demand: { ...NO_DEMAND, memoryMb: 700 }, longRunning: true, requiredLabel: 'big' }),
    vms: [
      { id: 'a', labels: ['big'], pool: 'p' },
      { id: 'b', pool: 'p' },
      SPARE,
      { id: 't', labels: ['big'], pool: SPARE_POOL },
    ],
    waiting: step({ demand: { ...NO_DEMAND, memoryMb: 400 }, requiredLabel: 'big' }),
  },
  {
    name: 'a gang has room for some of its members only',
    vms: [{ id: 'a', pool: 'p' }, SPARE, { id: 't', pool: SPARE_POOL }],
    waiting: step({ count: 3, demand: { ...NO_DEMAND, memoryMb: 600 }, gang: true }),
  },
  {
    name: 'the VM with the label is kept for the next peak of another pool',
    vms: [
      { id: 'a', pool: 'p' },
      { id: 'b', pool: 'p' },
      ...['q1', 'q2', 'q3'].map((id) => ({ id, pool: 'q' })),
      { id: 't', labels: ['big'], pool: 'q' },
    ],
    waiting: step({ demand: NO_DEMAND, requiredLabel: 'big' }),
  },
];

// Guards against tasks that fit on no open worker of their pool and wait for ever, although a VM that could be moved
// has room for them.
describe('a VM is moved to tasks that fit on no open worker, since', () => {
  it.each(ROWS)('$name', ({ running, vms, waiting }) => {
    const fleet = new PoolFleet(vms);
    if (running !== undefined) {
      fleet.add(job('running', [running]));
    }
    fleet.run(300);
    fleet.add(job('waiting', [waiting]));
    fleet.run(MOVED_MS);
    const expected = Array.from({ length: waiting.count }, (_, index) => `waiting.0.0.${index}`);
    expect(fleet.started).toEqual(expect.arrayContaining(expected));
  });
});

describe('PoolBalancer', () => {
  // Guards against a task that swallows the VMs of all pools one after the other.
  it('moves no VM beyond the usual reserve of one to tasks that fit on no VM', () => {
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, SPARE, { id: 't', pool: SPARE_POOL }]);
    fleet.add(job('hopeless', [step({ demand: { ...NO_DEMAND, memoryMb: 5000 } })]));
    fleet.add(job('unlabelled', [step({ demand: NO_DEMAND, requiredLabel: 'none' })]));
    fleet.run(10_000);
    expect(fleet.moves).toHaveLength(1);
  });

  it('moves one VM, and no more, when its worker turns out to be smaller than the VM list says', () => {
    const spare = ['s1', 's2', 's3', 's4'].map((id) => ({
      capacity: { cpuMilli: 4000, gpus: 0, memoryMb: 8000 },
      capacityAfterMove: { cpuMilli: 4000, gpus: 0, memoryMb: 1000 },
      id,
      pool: SPARE_POOL,
    }));
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, ...spare]);
    fleet.add(job('waiting', [step({ demand: { ...NO_DEMAND, memoryMb: 4000 } })]));
    fleet.run(5000);
    expect(fleet.moves.filter(({ pool }) => pool === 'p')).toHaveLength(1);
  });

  it('moves no VM to a step whose tasks soon run in turn within their limit per worker', () => {
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, { id: 'b', pool: 'p' }, SPARE]);
    fleet.add(job('turns', [step({ count: 8, demand: NO_DEMAND, estimatedMs: 400, maxPerWorker: 1 })]));
    fleet.run(5000);
    expect(fleet.started).toHaveLength(8);
    expect(fleet.moves).toEqual([]);
  });

  it('moves VMs to a step whose tasks run in turn for longer than a move takes', () => {
    const spare = ['s1', 's2', 's3'].map((id) => ({ id, pool: SPARE_POOL }));
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, ...spare]);
    fleet.add(job('turns', [step({ count: 4, demand: NO_DEMAND, estimatedMs: 60_000, maxPerWorker: 1 })]));
    fleet.run(5000);
    expect(fleet.started).toHaveLength(4);
  });

  // Guards against a pool that waits, since the idle VMs of another one stay there for a task that fits nowhere.
  it('moves the idle VMs of a pool with a task that fits nowhere to a pool that is shorter of workers', () => {
    const fleet = new PoolFleet([
      { id: 'a', pool: 'p' },
      ...['q1', 'q2', 'q3', 'q4', 'q5', 'q6'].map((id) => ({ id, pool: 'q' })),
    ]);
    const lasting = step({ count: 3, demand: { ...NO_DEMAND, cpuMilli: 1000 }, longRunning: true });
    fleet.add({ ...job('lasting', [lasting]), pool: 'q' });
    fleet.add({ ...job('hopeless', [step({ demand: NO_DEMAND, requiredLabel: 'none' })]), pool: 'q' });
    fleet.run(300);
    fleet.add(job('busy', [step({ count: 4, demand: { ...NO_DEMAND, cpuMilli: 3000 }, longRunning: true })]));
    fleet.run(MOVED_MS);
    expect(fleet.started.filter((name) => name.startsWith('busy'))).toHaveLength(4);
  });

  // Guards against a VM that is expected for 15 s after its order was refused, while another one could be moved.
  it('moves another VM when an order without an answer is then refused', () => {
    const spare = ['s1', 's2', 's3'].map((id) => ({ id, pool: SPARE_POOL }));
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, ...spare]);
    const unanswered = new Set<string>();
    fleet.answerMove = ({ vm }, now) => {
      if (now < 500) {
        unanswered.add(vm);
        return 'unknown';
      }
      return unanswered.has(vm) ? 'refused' : 'moved';
    };
    fleet.add(
      job('lasting', [step({ count: 2, demand: { ...NO_DEMAND, cpuMilli: 3000 }, longRunning: true })]),
    );
    fleet.run(5000);
    expect(fleet.started).toHaveLength(2);
  });

  it('moves a VM that one pool can not use to another pool at once', () => {
    const fleet = new PoolFleet([
      { id: 'a', pool: 'p' },
      { id: 'b', pool: 'q' },
      { id: 'c', pool: 'q' },
      SPARE,
    ]);
    fleet.answerMove = ({ pool }) => (pool === 'q' ? 'refused' : 'moved');
    const lasting = step({ count: 9, demand: { ...NO_DEMAND, cpuMilli: 3500 }, longRunning: true });
    fleet.add({ ...job('large', [lasting]), pool: 'q' });
    fleet.add(job('small', [{ ...lasting, count: 2 }]));
    fleet.run(MOVED_MS);
    expect(fleet.started).toContain('small.0.0.1');
  });

  it('orders a VM again soon after it was busy', () => {
    const fleet = new PoolFleet([{ id: 'a', pool: 'p' }, SPARE]);
    fleet.answerMove = (_, now) => (now < 500 ? 'busy' : 'moved');
    fleet.add(
      job('lasting', [step({ count: 2, demand: { ...NO_DEMAND, cpuMilli: 3000 }, longRunning: true })]),
    );
    fleet.run(5000);
    expect(fleet.started).toHaveLength(2);
  });
});
