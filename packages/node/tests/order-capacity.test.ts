import { Scheduler } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { StartCall, WorkerLink } from '../src/ports/worker-link';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from '../../core/tests/jobs/support/jobs';
import { NodeMetrics } from '../src/node-metrics';
import { OrderSender } from '../src/order-sender';

/** Worker that answers each order to start when told to. */
class HeldLink implements WorkerLink {
  readonly answers: (() => void)[] = [];
  readonly calls: StartCall[] = [];

  disconnect(): void {
    // There are no connections to close.
  }

  report(): ReturnType<WorkerLink['report']> {
    return okAsync(report());
  }

  start(call: StartCall): ReturnType<WorkerLink['start']> {
    this.calls.push(call);
    return new Promise((resolve) => {
      this.answers.push(() => {
        resolve({ answer: 'started', clockMs: undefined });
      });
    });
  }

  stop(): ReturnType<WorkerLink['stop']> {
    return okAsync(undefined);
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    return okAsync(undefined);
  }
}

function resize(scheduler: Scheduler, cpuMilli: number): void {
  scheduler.onWorkerRegistered(worker('a', { capacity: { cpuMilli, gpus: 0, memoryMb: 1000 } }), 30);
}

// Starts four tasks of one core on a worker with four cores.
function startAll(linkBytesPerS?: number): { link: HeldLink; scheduler: Scheduler } {
  const scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  scheduler.onConfig(config());
  scheduler.onWorkerRegistered(worker('a'), 0);
  for (const known of scheduler.workers.values()) {
    scheduler.onReport(known, report(), 5, 10);
  }
  scheduler.onJob(job('j', [step({ count: 4 })]), [], 10, 0);
  const link = new HeldLink();
  const sender = new OrderSender(
    {
      acknowledged: () => Promise.resolve(),
      canExtendLeases: () => true,
      epoch: 1,
      leaseMs: 4000,
      link,
      linkBytesPerS,
      metrics: new NodeMetrics(),
      onAnswer: () => undefined,
      onFenced: () => undefined,
      permits: { onPermitRefused: () => undefined, permitFor: () => '' },
      refreshClock: () => Promise.resolve(),
      scheduler,
      timers: new SystemTimerService(),
    },
    new AbortController().signal,
  );
  for (const order of scheduler.plan(20, 20).starts) {
    sender.start(order, 20);
  }
  return { link, scheduler };
}

// Guards against starts beyond the capacity of a worker that became smaller after the orders were planned.
describe('OrderSender and the capacity of workers', () => {
  it('sends only the waiting orders that fit into a capacity that has become smaller', async () => {
    const { link, scheduler } = startAll(1);
    expect(link.calls).toHaveLength(1);
    resize(scheduler, 2000);
    link.answers[0]?.();
    await expect.poll(() => link.calls.length).toBe(2);
    link.answers[1]?.();
    await expect.poll(() => scheduler.workers.get('a')?.runs.size).toBe(2);
    expect(link.calls).toHaveLength(2);
  });

  it('does not write an order that no longer fits when a connection opens', () => {
    const { link, scheduler } = startAll();
    expect(link.calls.map((call) => call.maySend())).toEqual([true, true, true, true]);
    resize(scheduler, 3000);
    expect(link.calls.map((call) => call.maySend())).toEqual([false, false, false, false]);
  });
});
