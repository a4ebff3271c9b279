import type {
  KeyedRecord,
  MaintenanceAnswer,
  MaintenanceOrder,
  MoveAnswer,
  MoveOrder,
  PoolBalancer,
  WavePlanner,
  WaveReport,
} from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { KeyedStream } from './ports/keyed-stream';
import type { VmAnswer, VmOrder, VmService } from './ports/vm-service';
import type { TermLog } from './term-log';
import { OrderTimes } from './order-times';
import { VM_ANSWER } from './ports/vm-service';

/** What the loop needs of the term it belongs to. */
export interface MaintenanceContext {
  balancer: PoolBalancer;
  /** Encodes what the operators are told about a wave. */
  encodeReport: (report: WaveReport) => { key: string; value: string };
  epoch: number;
  /** Whether this node surely still leads. */
  isFresh: () => boolean;
  /** Time for which two holders must not give orders for one VM, in ms. */
  leaseDurationMs: number;
  log: Logger;
  node: string;
  onChange: () => void;
  planner: WavePlanner;
  /** Pools whose VMs are switched off. */
  sparePools: () => ReadonlySet<string>;
  status: KeyedStream;
  termLog: TermLog;
  timers: TimerService;
  vms: VmService;
}

/** Period of looking for something to do, in ms. */
const PERIOD_MS = 100;

/** Period of reading the list of VMs, in ms. */
const LIST_PERIOD_MS = 600;

/** Limit for a call to the VM service, in ms. */
const LIMIT_MS = 1500;

/** Time for which a report to the operators is tried, in ms. */
const REPORT_RETRY_MS = 200;

const ANSWERS: Readonly<Record<VmAnswer, MaintenanceAnswer>> = {
  [VM_ANSWER.busy]: 'refused',
  [VM_ANSWER.done]: 'begun',
  [VM_ANSWER.fenced]: 'unknown',
  [VM_ANSWER.refused]: 'refused',
  [VM_ANSWER.unknown]: 'unknown',
};

const MOVE_ANSWERS: Readonly<Record<VmAnswer, MoveAnswer>> = {
  [VM_ANSWER.busy]: 'refused',
  [VM_ANSWER.done]: 'moved',
  [VM_ANSWER.fenced]: 'unknown',
  [VM_ANSWER.refused]: 'refused',
  [VM_ANSWER.unknown]: 'unknown',
};

/** Carries out the plans for the maintenance waves and for moves between pools. */
export class MaintenanceLoop {
  #listedAt = -Infinity;
  #listing = false;
  readonly #orderTimes = new OrderTimes();
  readonly #ordering = new Set<string>();
  #stored = Promise.resolve(true);

  constructor(
    private readonly ctx: MaintenanceContext,
    private readonly signal: AbortSignal,
  ) {}

  /** Runs until the signal aborts; the records tell when earlier terms gave orders for VMs. */
  run(records: readonly KeyedRecord[]): void {
    this.#orderTimes.restore(records);
    this.ctx.balancer.restore(records);
    this.ctx.timers.every(
      PERIOD_MS,
      () => {
        this.#step();
      },
      this.signal,
    );
  }

  #step(): void {
    const { planner, timers } = this.ctx;
    if (!this.ctx.isFresh()) {
      return;
    }
    const now = timers.mono();
    if (now - this.#listedAt >= LIST_PERIOD_MS && !this.#listing) {
      void this.#list(now);
    }
    if (this.#listedAt === -Infinity) {
      return;
    }
    const plan = planner.plan(now);
    const balance = this.ctx.balancer.plan(now, timers.now(), this.ctx.sparePools());
    this.#stored = this.ctx.termLog.append([...plan.records, ...balance.records]);
    for (const order of plan.orders) {
      void this.#order(order);
    }
    for (const report of plan.reports) {
      void this.#tell(report);
    }
    for (const move of balance.orders) {
      void this.#move(move);
    }
    this.ctx.onChange();
  }

  async #list(askedAt: number): Promise<void> {
    this.#listing = true;
    const listed = await this.ctx.vms.list(LIMIT_MS, this.signal);
    this.#listing = false;
    this.#listedAt = Math.max(this.#listedAt, listed.isOk() ? askedAt : this.#listedAt);
    if (listed.isOk()) {
      this.ctx.planner.onVms(listed.value, askedAt);
      this.ctx.balancer.onVms(listed.value, askedAt);
    } else {
      this.ctx.log.warn({ error: listed.error }, 'VM list unavailable');
    }
  }

  async #order(order: MaintenanceOrder): Promise<void> {
    const answer = await this.#give(order.vm, (call) => this.ctx.vms.maintain(call, order.wave));
    if (answer !== undefined) {
      this.ctx.planner.onAnswer(order, ANSWERS[answer], this.ctx.timers.mono());
      this.ctx.onChange();
    }
  }

  async #move(order: MoveOrder): Promise<void> {
    const answer = await this.#give(order.vm, (call) => this.ctx.vms.move(call, order.pool));
    if (answer !== undefined) {
      this.ctx.balancer.onAnswer(order, MOVE_ANSWERS[answer], this.ctx.timers.mono());
      this.ctx.onChange();
    }
  }

  // The planners repeat an order that was not given. Its time is stored first, for a later term.
  async #give(vm: string, send: (call: VmOrder) => Promise<VmAnswer>): Promise<VmAnswer | undefined> {
    const { epoch, node, termLog, timers } = this.ctx;
    if (this.#ordering.has(vm) || this.#orderTimes.isHeld(vm, timers.now(), this.ctx.leaseDurationMs)) {
      return undefined;
    }
    this.#ordering.add(vm);
    const stored = await termLog.append([OrderTimes.record(vm, timers.now())]);
    const canSend = stored && this.ctx.isFresh();
    const call = { epoch, holder: node, limitMs: LIMIT_MS, signal: this.signal, vm };
    const answer = canSend ? await send(call) : undefined;
    this.#ordering.delete(vm);
    return this.signal.aborted ? undefined : answer;
  }

  // The end of a wave is told once what it rests on is stored.
  async #tell(report: WaveReport): Promise<void> {
    if (!(await this.#stored)) {
      return;
    }
    const records = [this.ctx.encodeReport(report)];
    while (!this.signal.aborted) {
      const told = await this.ctx.status.append({ limitMs: LIMIT_MS, records, signal: this.signal });
      if (told.isOk()) {
        return;
      }
      await this.ctx.timers.sleep(REPORT_RETRY_MS, this.signal);
    }
  }
}
