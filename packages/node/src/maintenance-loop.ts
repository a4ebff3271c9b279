import type {
  KeyedRecord,
  MaintenanceAnswer,
  MaintenanceOrder,
  MoveAnswer,
  MoveOrder,
  PoolBalancer,
  WavePlanner,
} from '@sequoiaquay/core/jobs';
import type { VmOrder, VmOrderOutcome, VmService } from './ports/vm-service';
import type { TermLog } from './term-log';
import type { WaveReporterContext } from './wave-reporter';
import { VM_ORDER_OUTCOME } from './ports/vm-service';
import { CLOCK_MARGIN_MS, LATE_RECORD_WINDOW_MS, VmOrderTimes } from './vm-order-times';
import { WaveReporter } from './wave-reporter';

/** Dependencies of the loop on its term. */
export interface MaintenanceLoopContext extends WaveReporterContext {
  balancer: PoolBalancer;
  /** Fencing token of the term. */
  epoch: number;
  /** Time for which two leaders must not give orders for the same VM, in ms. */
  leaseDurationMs: number;
  /** Name of this node, the holder of the lease in its orders. */
  node: string;
  /** Called after each round of planning and after each answer to an order. */
  onChange: () => void;
  planner: WavePlanner;
  /** Returns the names of the spare pools, whose VMs are switched off. */
  sparePoolNames: () => ReadonlySet<string>;
  termLog: TermLog;
  vms: VmService;
}

/** Interval between rounds of planning, in ms. */
const PLAN_INTERVAL_MS = 100;

/** Interval between reads of the list of VMs, in ms. */
const VM_LIST_INTERVAL_MS = 600;

/** Age of the newest list from which on, once a further one has failed, no more VMs are selected, in ms. */
const MAX_VM_LIST_AGE_MS = 3000;

/** Timeout of a call to the VM service, in ms. */
const CALL_TIMEOUT_MS = 1500;

/** Outcome of an order that was not sent, so that it is certainly not carried out. */
const UNSENT = 'unsent';

const MAINTENANCE_ANSWERS: Readonly<Record<VmOrderOutcome, MaintenanceAnswer>> = {
  [VM_ORDER_OUTCOME.busy]: 'refused',
  [VM_ORDER_OUTCOME.done]: 'begun',
  [VM_ORDER_OUTCOME.fenced]: 'unknown',
  [VM_ORDER_OUTCOME.limited]: 'limited',
  [VM_ORDER_OUTCOME.refused]: 'refused',
  [VM_ORDER_OUTCOME.unknown]: 'unknown',
};

const MOVE_ANSWERS: Readonly<Record<VmOrderOutcome, MoveAnswer>> = {
  [VM_ORDER_OUTCOME.busy]: 'busy',
  [VM_ORDER_OUTCOME.done]: 'moved',
  [VM_ORDER_OUTCOME.fenced]: 'unknown',
  [VM_ORDER_OUTCOME.limited]: 'limited',
  [VM_ORDER_OUTCOME.refused]: 'refused',
  [VM_ORDER_OUTCOME.unknown]: 'unknown',
};

/** Plans maintenance waves and moves of VMs between pools, and carries out the plans. */
export class MaintenanceLoop {
  #lastVmListAt = -Infinity;
  #isListingVms = false;
  readonly #orderTimes = new VmOrderTimes();
  readonly #pendingVms = new Set<string>();
  readonly #reporter: WaveReporter;

  constructor(
    private readonly ctx: MaintenanceLoopContext,
    private readonly signal: AbortSignal,
  ) {
    this.#reporter = new WaveReporter(ctx, signal);
  }

  /** Starts the loop, which ends when the signal aborts; `records` hold the orders of earlier terms for VMs. */
  run(records: readonly KeyedRecord[]): void {
    this.#orderTimes.restore(records);
    this.#restoreMaintenanceOrders();
    this.ctx.balancer.restore(records);
    this.ctx.timers.every(
      PLAN_INTERVAL_MS,
      () => {
        this.#guard(() => {
          this.#planAndExecute();
        });
      },
      this.signal,
    );
  }

  // An order of a clock that is ahead, or of an unreadable time, counts from now on.
  #restoreMaintenanceOrders(): void {
    const { leaseDurationMs, planner, timers } = this.ctx;
    for (const { order, orderedAt } of this.#orderTimes.maintenanceOrders) {
      const ageMs = Math.max(0, timers.now() - orderedAt) || 0;
      const recordedAt = timers.mono() - ageMs;
      planner.restoreOrder(order, {
        lateUntil: recordedAt + LATE_RECORD_WINDOW_MS,
        notBefore: recordedAt + leaseDurationMs + CLOCK_MARGIN_MS,
      });
    }
  }

  // An unexpected error, for example about one wave, must end neither the process nor the maintenance of other VMs.
  #guard(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.ctx.log.error({ err: error }, 'step of the maintenance failed');
    }
  }

  #planAndExecute(): void {
    const { planner, timers } = this.ctx;
    if (!this.ctx.isLeadershipConfirmed()) {
      return;
    }
    const now = timers.mono();
    if (now - this.#lastVmListAt >= VM_LIST_INTERVAL_MS && !this.#isListingVms) {
      void this.#refreshVms(now);
    }
    if (this.#lastVmListAt === -Infinity) {
      return;
    }
    const plan = planner.plan(now);
    const balance = this.ctx.balancer.plan(now, timers.now(), this.ctx.sparePoolNames());
    const planStored = this.ctx.termLog.append([...plan.records, ...balance.records]);
    for (const order of plan.orders) {
      void this.#startMaintenance(order);
    }
    for (const report of plan.reports) {
      this.#reporter.publish(report, planStored);
    }
    for (const move of balance.orders) {
      void this.#moveVm(move);
    }
    this.ctx.onChange();
  }

  async #refreshVms(requestedAt: number): Promise<void> {
    this.#isListingVms = true;
    const listed = await this.ctx.vms.listVms(CALL_TIMEOUT_MS, this.signal);
    this.#isListingVms = false;
    this.#lastVmListAt = Math.max(this.#lastVmListAt, listed.isOk() ? requestedAt : this.#lastVmListAt);
    if (listed.isOk()) {
      this.#guard(() => {
        this.ctx.planner.onVms(listed.value, requestedAt);
        this.ctx.balancer.onVms(listed.value, requestedAt);
      });
    } else {
      this.ctx.log.warn({ error: listed.error }, 'VM list unavailable');
      this.#reportUnavailable();
    }
  }

  // A single list may fail.
  #reportUnavailable(): void {
    if (this.ctx.timers.mono() - this.#lastVmListAt > MAX_VM_LIST_AGE_MS) {
      this.ctx.planner.onVmsUnavailable();
      this.ctx.balancer.onVmsUnavailable();
    }
  }

  async #startMaintenance(order: MaintenanceOrder): Promise<void> {
    const { planner, timers, vms } = this.ctx;
    const isWanted = (): boolean => planner.isWanted(order, timers.mono());
    const send = (req: VmOrder): Promise<VmOrderOutcome> => vms.startMaintenance(req, order.wave);
    const outcome = await this.#sendOrder(order, isWanted, send);
    if (outcome !== undefined) {
      planner.onAnswer(order, outcome === UNSENT ? 'unsent' : MAINTENANCE_ANSWERS[outcome], timers.mono());
      this.ctx.onChange();
    }
  }

  async #moveVm(order: MoveOrder): Promise<void> {
    const { balancer, timers, vms } = this.ctx;
    const isWanted = (): boolean => balancer.isWanted(order, timers.mono());
    const outcome = await this.#sendOrder({ vm: order.vm }, isWanted, (req) =>
      vms.moveToPool(req, order.pool),
    );
    if (outcome !== undefined) {
      balancer.onAnswer(order, outcome === UNSENT ? 'unsent' : MOVE_ANSWERS[outcome], timers.mono());
      this.ctx.onChange();
    }
  }

  // Returns undefined while an earlier order for the VM is under way. The time of the order is stored before it is
  // sent, so that a later term waits for the lease duration, and counts a VM ordered for a wave as down.
  async #sendOrder(
    { vm, wave }: { vm: string; wave?: number },
    isWanted: () => boolean,
    send: (req: VmOrder) => Promise<VmOrderOutcome>,
  ): Promise<VmOrderOutcome | typeof UNSENT | undefined> {
    const { epoch, node, termLog, timers } = this.ctx;
    if (this.#pendingVms.has(vm)) {
      return undefined;
    }
    if (this.#orderTimes.hasRecentOrder(vm, timers.now(), this.ctx.leaseDurationMs)) {
      return UNSENT;
    }
    this.#pendingVms.add(vm);
    const isStored = await termLog.append([this.#orderTimes.add(vm, timers.now(), wave)]);
    const maySend = (): boolean => this.ctx.isLeadershipConfirmed() && isWanted();
    const canSend = isStored && maySend();
    const req: VmOrder = {
      epoch,
      holder: node,
      maySend,
      signal: this.signal,
      timeoutMs: CALL_TIMEOUT_MS,
      vm,
    };
    const outcome = canSend ? await send(req) : UNSENT;
    this.#pendingVms.delete(vm);
    return this.signal.aborted ? undefined : outcome;
  }
}
