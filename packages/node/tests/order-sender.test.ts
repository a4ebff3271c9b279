import type { Scheduler, StartOrder } from '@sequoiaquay/core/jobs';
import { PendingAcknowledgement } from '@sequoiaquay/core/jobs';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import type { WorkerLink } from '../src/ports/worker-link';
import { NodeMetrics } from '../src/node-metrics';
import { OrderSender } from '../src/order-sender';
import { WORKER } from './support/sample-job';

const BODY = 'x'.repeat(1400);

/** Orders of a size of 2000 bytes that the link may carry at a time, given its capacity. */
const ORDERS_PER_WINDOW = 5;
const LINK_BYTES_PER_S = (ORDERS_PER_WINDOW * 2000) / 0.2;

/** Workers that answer orders to start only when told to. */
class HoldingLink implements WorkerLink {
  readonly answers: (() => void)[] = [];
  readonly started: string[] = [];
  readonly stopped: string[] = [];

  disconnect(): void {
    // There are no connections to close.
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    return okAsync(undefined);
  }

  report(): ReturnType<WorkerLink['report']> {
    return okAsync({ bornAt: 1, clockMs: 1000, ended: [], running: [] });
  }

  start(call: { task: string }): ReturnType<WorkerLink['start']> {
    this.started.push(call.task);
    return new Promise((resolve) => {
      this.answers.push(() => {
        resolve({ answer: 'started', clockMs: undefined });
      });
    });
  }

  stop(call: { task: string }): ReturnType<WorkerLink['stop']> {
    this.stopped.push(call.task);
    return okAsync(undefined);
  }
}

const worker = {
  acknowledgement: new PendingAcknowledgement(),
  extendLease: () => 5000,
  info: WORKER,
  isClockRecent: () => true,
  isUnresponsive: false,
  proofAt: () => undefined,
};

function orderOf(index: number): StartOrder {
  const task = { checkpoint: '', job: { job: { spec: { body: BODY } } }, name: `t${index}` };
  return { run: 1, task, worker } as unknown as StartOrder;
}

/** State that decides whether an order is sent. */
interface SenderState {
  /** Ends the waits for an acknowledgement. */
  readonly acknowledged: (() => void)[];
  answers: string[];
  canExtendLeases: boolean;
  isStartPending: boolean;
  /** Ends the requests for a new reading of the worker's clock. */
  readonly refreshed: (() => void)[];
  /** Runs whose orders were reported to the scheduler as being sent. */
  sent: number[];
}

interface Started {
  link: HoldingLink;
  metrics: NodeMetrics;
  sender: OrderSender;
  state: SenderState;
  stop: AbortController;
}

function startAll(count: number, linkBytesPerS: number | undefined): Started {
  const state: SenderState = {
    acknowledged: [],
    answers: [],
    canExtendLeases: true,
    isStartPending: true,
    refreshed: [],
    sent: [],
  };
  const link = new HoldingLink();
  const metrics = new NodeMetrics();
  const stop = new AbortController();
  const scheduler = {
    isStartPending: () => state.isStartPending,
    onStartAnswer: (_order: StartOrder, answer: string) => state.answers.push(answer),
    onStartSent: (order: StartOrder) => state.sent.push(order.run),
    onStopAcknowledged: () => undefined,
  } as unknown as Scheduler;
  const sender = new OrderSender(
    {
      acknowledged: () =>
        new Promise((resolve) => {
          state.acknowledged.push(resolve);
        }),
      canExtendLeases: () => state.canExtendLeases,
      epoch: 1,
      leaseMs: 4000,
      link,
      linkBytesPerS,
      metrics,
      onAnswer: () => undefined,
      onFenced: () => undefined,
      permits: { onPermitRefused: () => undefined, permitFor: () => '' },
      refreshClock: () =>
        new Promise((resolve) => {
          state.refreshed.push(resolve);
        }),
      scheduler,
      timers: new SystemTimerService(),
    },
    stop.signal,
  );
  for (let index = 0; index < count; index += 1) {
    sender.start(orderOf(index), 0);
  }
  return { link, metrics, sender, state, stop };
}

// Guards against reports and orders to stop that time out behind start orders on a narrow link.
describe('OrderSender', () => {
  it('keeps the start orders in flight within a part of a narrow link and sends the others in order', async () => {
    const { link, metrics, sender } = startAll(12, LINK_BYTES_PER_S);
    expect(link.started).toHaveLength(ORDERS_PER_WINDOW);
    await sender.stop({ run: 1, task: 'other', worker } as unknown as Parameters<OrderSender['stop']>[0]);
    expect(link.stopped).toEqual(['other']);
    link.answers[0]?.();
    await expect.poll(() => link.started.length).toBe(ORDERS_PER_WINDOW + 1);
    expect(metrics.orders.count).toBe(11);
    for (let index = 1; index < 12; index += 1) {
      await expect.poll(() => link.answers.length).toBeGreaterThan(index);
      link.answers[index]?.();
    }
    expect(link.started).toEqual(Array.from({ length: 12 }, (_, index) => `t${index}`));
    await expect.poll(() => metrics.orders.count).toBe(0);
  });

  it('sends all start orders at once over a link of unknown or large capacity', () => {
    expect(startAll(200, undefined).link.started).toHaveLength(200);
    expect(startAll(200, 100 * LINK_BYTES_PER_S).link.started).toHaveLength(200);
  });

  it('sends no waiting order after the end of its term', async () => {
    const { link, metrics, state, stop } = startAll(12, LINK_BYTES_PER_S);
    stop.abort();
    link.answers.forEach((answer) => {
      answer();
    });
    await expect.poll(() => metrics.orders.count).toBe(0);
    expect(link.started).toHaveLength(ORDERS_PER_WINDOW);
    expect(state.sent).toHaveLength(ORDERS_PER_WINDOW);
  });

  it('refuses waiting orders to a worker that has become unresponsive without extending its lease', async () => {
    const { link, state } = startAll(12, LINK_BYTES_PER_S);
    worker.isUnresponsive = true;
    link.answers[0]?.();
    await expect.poll(() => state.answers.filter((answer) => answer === 'refused')).toHaveLength(7);
    worker.isUnresponsive = false;
    expect(link.started).toHaveLength(ORDERS_PER_WINDOW);
  });

  it('sends no waiting order once the node may no longer extend leases', async () => {
    const { link, state } = startAll(12, LINK_BYTES_PER_S);
    state.canExtendLeases = false;
    link.answers[0]?.();
    await expect.poll(() => state.answers.filter((answer) => answer === 'refused')).toHaveLength(7);
    expect(link.started).toHaveLength(ORDERS_PER_WINDOW);
  });

  it('drops thousands of waiting orders at the end of its term', async () => {
    const { link, metrics, stop } = startAll(8000, LINK_BYTES_PER_S);
    stop.abort();
    link.answers.forEach((answer) => {
      answer();
    });
    await expect.poll(() => metrics.orders.count).toBe(0);
    expect(link.started).toHaveLength(ORDERS_PER_WINDOW);
  });

  // Guards against a run whose end a later incarnation drops for an acknowledgement that is on its way.
  describe('to a worker with an acknowledgement in flight', () => {
    const acknowledgement = new PendingAcknowledgement();
    const acknowledged = { ...worker, acknowledgement };

    function startOne(): Started {
      acknowledgement.begin({ bornAt: 1, number: 1, sentAt: 0 });
      const started = startAll(0, undefined);
      const target = acknowledged as unknown as StartOrder['worker'];
      started.sender.start({ ...orderOf(0), worker: target }, 0);
      return started;
    }

    it('sends an order once the acknowledgement has been answered', async () => {
      const { link, state } = startOne();
      expect(state.acknowledged).toHaveLength(1);
      expect(link.started).toEqual([]);
      acknowledgement.settle();
      state.acknowledged[0]?.();
      await expect.poll(() => link.started).toEqual(['t0']);
    });

    it('refuses an order when the acknowledgement may still be carried out', async () => {
      const { link, state } = startOne();
      acknowledgement.lose(0);
      state.acknowledged[0]?.();
      await expect.poll(() => state.answers).toEqual(['refused']);
      expect(link.started).toEqual([]);
    });
  });

  // Guards against a lease by a reading from before a long idle time.
  describe('to a worker whose clock was read long ago', () => {
    const withOldClock = { ...worker, isClockRecent: () => false };

    function startOne(): Started {
      const started = startAll(0, undefined);
      started.sender.start({ ...orderOf(0), worker: withOldClock as unknown as StartOrder['worker'] }, 0);
      return started;
    }

    it('sends an order once the clock has been read again', async () => {
      const { link, state } = startOne();
      expect(state.refreshed).toHaveLength(1);
      expect(link.started).toEqual([]);
      state.refreshed[0]?.();
      await expect.poll(() => link.started).toEqual(['t0']);
    });

    it('sends no order that was withdrawn meanwhile', async () => {
      const { link, metrics, state } = startOne();
      state.isStartPending = false;
      state.refreshed[0]?.();
      await expect.poll(() => metrics.orders.count).toBe(0);
      expect(link.started).toEqual([]);
      expect(state.answers).toEqual([]);
    });

    it('refuses an order to a worker that did not answer', async () => {
      const { link, state } = startOne();
      withOldClock.isUnresponsive = true;
      state.refreshed[0]?.();
      await expect.poll(() => state.answers).toEqual(['refused']);
      expect(link.started).toEqual([]);
    });
  });
});
