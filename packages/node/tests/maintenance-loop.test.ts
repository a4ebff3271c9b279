import type { KeyedRecord, Worker } from '@sequoiaquay/core/jobs';
import { PoolBalancer, Scheduler, WavePlanner } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { VmOrderOutcome, VmService } from '../src/ports/vm-service';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from '../../core/tests/jobs/support/jobs';
import { MaintenanceLoop } from '../src/maintenance-loop';
import { TermLog } from '../src/term-log';
import { VmOrderTimes } from '../src/vm-order-times';
import { MemoryStream } from './support/memory-stream';
import { quietLog } from './support/quiet-log';

const LEASE_DURATION_MS = 3000;

const SAMPLE_INTERVAL_MS = 50;

/** Stream whose appends take a time in ms. */
class DelayedStream extends MemoryStream {
  constructor(private readonly delayMs: number) {
    super();
  }

  override append(req: Parameters<MemoryStream['append']>[0]): ReturnType<MemoryStream['append']> {
    const delay = new Promise<undefined>((resolve) => {
      setTimeout(() => {
        resolve(undefined);
      }, this.delayMs);
    });
    return ResultAsync.fromSafePromise<undefined>(delay).andThen(() => super.append(req));
  }
}

/** Returns the record of an order for a VM that an earlier term gave now. */
function recordOf(vm: string, wave?: number): KeyedRecord {
  return new VmOrderTimes().add(vm, Date.now(), wave);
}

/** Loop on two idle workers of one pool and a job that waits for a VM in another pool. */
class Harness {
  readonly maintained: string[] = [];
  readonly moved: string[] = [];
  readonly planner: WavePlanner;
  isListing = true;
  moveOutcome: VmOrderOutcome = 'unknown';
  readonly scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  readonly stream: MemoryStream;
  readonly #stop = new AbortController();
  readonly #timers = new SystemTimerService();

  constructor(appendMs: number) {
    const pools = ['p', 'other', 'spare'].map((name) => ({
      enforcesCapacity: true,
      name,
      spare: name === 'spare',
    }));
    this.scheduler.onConfig({ ...config(), pools });
    const now = this.#timers.mono();
    for (const id of ['a', 'b']) {
      this.scheduler.onWorkerRegistered(worker(id), now);
    }
    for (const item of this.workers()) {
      this.scheduler.onReport(item, report(), now, now);
    }
    this.scheduler.onJob({ ...job('j', [step()]), pool: 'other' }, [], now, now);
    this.stream = new DelayedStream(appendMs);
    const termLog = new TermLog(this.stream, 0, () => undefined, this.#timers, this.#stop.signal);
    const log = (): void => undefined;
    this.planner = new WavePlanner(this.scheduler, log);
    this.loop = new MaintenanceLoop(
      {
        balancer: new PoolBalancer(this.scheduler, log),
        encodeReport: () => ({ key: '', value: '' }),
        epoch: 1,
        isLeadershipConfirmed: () => true,
        leaseDurationMs: LEASE_DURATION_MS,
        log: quietLog,
        node: 'n1',
        onChange: () => undefined,
        planner: this.planner,
        sparePoolNames: () => new Set(['spare']),
        status: new MemoryStream(),
        termLog,
        timers: this.#timers,
        vms: this.#vms(),
      },
      this.#stop.signal,
    );
  }

  readonly loop: MaintenanceLoop;

  stop(): void {
    this.#stop.abort();
  }

  workers(): Worker[] {
    return [...this.scheduler.workers.values()];
  }

  /** Returns how often a worker was closed in samples taken for a time in ms. */
  async countClosed(forMs: number): Promise<number> {
    let count = 0;
    for (let passedMs = 0; passedMs < forMs; passedMs += SAMPLE_INTERVAL_MS) {
      await vi.advanceTimersByTimeAsync(SAMPLE_INTERVAL_MS);
      const now = this.#timers.mono();
      count += Number(this.workers().some((item) => !item.isAssignable(now)));
    }
    return count;
  }

  #vms(): VmService {
    const list = ['a', 'b'].map((id) => ({
      id: `vm-${id}`,
      labels: [],
      pool: 'p',
      rack: 'r1',
      state: 'up' as const,
      workerId: id,
      zone: 'z1',
    }));
    return {
      listVms: () => (this.isListing ? okAsync(list) : errAsync('no answer')),
      moveToPool: (order) => {
        if (order.maySend()) {
          this.moved.push(order.vm);
        }
        return Promise.resolve(this.moveOutcome);
      },
      startMaintenance: (order) => {
        if (order.maySend()) {
          this.maintained.push(order.vm);
        }
        return Promise.resolve('unknown');
      },
    };
  }
}

let harness: Harness | undefined;

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'],
  });
});

afterEach(() => {
  harness?.stop();
  vi.useRealTimers();
});

// Guards against workers that get no tasks for an order that is not sent.
describe('MaintenanceLoop', () => {
  it('keeps workers open whose VMs another term has ordered so recently that no order may be sent', async () => {
    harness = new Harness(1);
    harness.loop.run(['vm-a', 'vm-b'].map((vm) => recordOf(vm)));
    expect(await harness.countClosed(LEASE_DURATION_MS)).toBe(0);
    expect(harness.moved).toEqual([]);
    await harness.countClosed(2000);
    expect(harness.moved).not.toEqual([]);
  });

  it('begins no maintenance of a wave while an order of an earlier term for another of its VMs may be late', async () => {
    harness = new Harness(1);
    harness.loop.run([recordOf('vm-a', 1)]);
    harness.planner.onWave({ durationMs: 20_000, id: 1, maxAtOnce: 1, vms: ['vm-a', 'vm-b'] }, 0);
    await harness.countClosed(LEASE_DURATION_MS);
    expect(harness.maintained).toEqual([]);
    await harness.countClosed(4000);
    expect(new Set(harness.maintained)).toEqual(new Set(['vm-a']));
  });

  it('counts an order that was sent long after it was recorded, by a clock that is behind', async () => {
    harness = new Harness(1);
    const [storingMs, clockDifferenceMs, lateMs] = [2000, 4500, 12_000];
    const recordedAt = Date.now() - storingMs - clockDifferenceMs;
    harness.loop.run([new VmOrderTimes().add('vm-unlisted', recordedAt, 1)]);
    harness.planner.onWave({ durationMs: 60_000, id: 1, maxAtOnce: 1, vms: ['vm-unlisted', 'vm-b'] }, 0);
    await harness.countClosed(lateMs);
    expect(harness.maintained).toEqual([]);
    await harness.countClosed(lateMs);
    expect(new Set(harness.maintained)).toEqual(new Set(['vm-b']));
  });

  it('tells the next leader of a maintenance order that may be late, also after a move of its VM', async () => {
    harness = new Harness(1);
    const earlier = ['vm-a', 'vm-b'].map((vm) => recordOf(vm, 1));
    harness.loop.run(earlier);
    await harness.countClosed(LEASE_DURATION_MS + 2000);
    expect(harness.moved).not.toEqual([]);
    const later = new VmOrderTimes();
    later.restore([...earlier, ...harness.stream.records]);
    expect(later.maintenanceOrders.map(({ order }) => order)).toEqual([
      { vm: 'vm-a', wave: 1 },
      { vm: 'vm-b', wave: 1 },
    ]);
  });

  it('keeps workers open while the VM list is not available, and moves VMs once it is again', async () => {
    harness = new Harness(1);
    harness.loop.run(['vm-a', 'vm-b'].map((vm) => recordOf(vm)));
    await harness.countClosed(700);
    harness.isListing = false;
    await harness.countClosed(3000);
    expect(await harness.countClosed(10_000)).toBe(0);
    harness.isListing = true;
    expect(await harness.countClosed(2000)).toBeGreaterThan(0);
  });

  it('does not send an order whose move was withdrawn while the time of the order was being stored', async () => {
    harness = new Harness(2500);
    harness.loop.run([]);
    await vi.advanceTimersByTimeAsync(2900);
    expect(harness.moved).toEqual([]);
    expect(harness.workers()[0]?.isAssignable(performance.now())).toBe(true);
  });

  it('goes on after an unexpected error in a round of planning or about the list of VMs', async () => {
    harness = new Harness(1);
    const throwOnce = (): never => {
      throw new Error('unexpected');
    };
    vi.spyOn(PoolBalancer.prototype, 'plan').mockImplementationOnce(throwOnce);
    vi.spyOn(WavePlanner.prototype, 'onVms').mockImplementationOnce(throwOnce);
    harness.loop.run([]);
    await harness.countClosed(3000);
    expect(harness.moved).not.toEqual([]);
  });
});
