import type { KeyedRecord } from '../jobs/job-record';
import type { Task } from '../jobs/task';
import type { VmClaims } from '../jobs/vm-claims';
import type { Worker } from '../jobs/worker';
import type { VmInfo, Wave } from './wave';
import type { WaveVm } from './wave-run';
import { CLAIM_REASON } from '../jobs/vm-claims';
import { selectTasksToMove } from './evacuation';
import { VM_STATE } from './wave';
import { WaveLimits } from './wave-limits';
import { WaveRun } from './wave-run';
import { LATE_VM_ORDER_WINDOW_MS, WorkerIncarnation } from './worker-incarnation';

/** Workers and operations that the wave planner uses. */
export interface WaveFleet {
  /** Moves a task off its worker so that it continues on another one. */
  moveAway: (task: Task, reason: string, now: number) => void;
  /** Handles the end of a worker's incarnation: nothing runs on it any more. */
  onWorkerEnded: (worker: Worker, now: number) => void;
  vmClaims: VmClaims;
  workers: ReadonlyMap<string, Worker>;
}

/** Order to begin the maintenance of a VM. */
export interface MaintenanceOrder {
  vm: string;
  wave: number;
}

/** Maintenance order of an earlier term: its VM counts as down until its maintenance is confirmed, or it is void. */
export interface EarlierOrder {
  /** Monotonic time until which the order may still be carried out, in ms. */
  lateUntil: number;
  /** Monotonic time before which no order for the VM may be given, in ms. */
  notBefore: number;
}

/** State of a wave as reported to the operators. */
export interface WaveReport {
  state: 'completed' | 'running';
  wave: number;
}

/** Actions that the waves require. */
export interface WavePlan {
  orders: MaintenanceOrder[];
  /** Records that later leaders need in order to continue. */
  records: KeyedRecord[];
  reports: WaveReport[];
}

/**
 * Answers to a maintenance order. An order that was not sent, or for which there were too many calls (`limited`), has
 * certainly not been carried out.
 */
export type MaintenanceAnswer = 'begun' | 'limited' | 'refused' | 'unknown' | 'unsent';

/** Logs a decision with the data that it is based on. */
export type MaintenanceLog = (decision: string, data: Record<string, unknown>) => void;

/** Typical time for the evacuation and maintenance of one VM, in ms. */
const VM_CYCLE_MS = 5000;

/** Largest share of a pool that may be evacuating or down at once, over all waves. */
const MAX_UNAVAILABLE_SHARE = 0.5;

/**
 * Time without the end of a run after which the evacuation of a worker is given up, in ms. It must be longer than runs
 * without checkpoints may go on, with the time that it takes to stop them.
 */
const EVACUATION_STALL_MS = 4000;

/** The same for a worker that has only long-running tasks left, which may have to wait for room on it, in ms. */
const LONG_RUNNING_STALL_MS = 2500;

/** Time after the first order at which a VM without a clear answer is given up, and is ordered no more, in ms. */
export const ORDER_DECISION_LIMIT_MS = 2000;

/** Time after a VM was given up for which it isn't selected again, in ms. */
const POSTPONEMENT_MS = 3000;

/** Time after a refusal for which a VM isn't selected again, in ms. */
const REFUSAL_BACKOFF_MS = 1500;

/** Time after which an order without a clear answer is repeated, in ms. */
const ORDER_RETRY_MS = 500;

/** Prefix of the keys of records that the maintenance of a VM has begun for a wave. */
const RECORD_PREFIX = 'v.';

/** Prefix of the keys of records that a wave is completed. */
const COMPLETED_PREFIX = 'w.';

/** Runs maintenance waves: evacuates VMs, orders their maintenance, and reports the progress. */
export class WavePlanner {
  #areVmsListed = true;
  /** Orders of earlier terms by record key. */
  readonly #earlierOrders = new Map<string, EarlierOrder>();
  #listedDown: ReadonlySet<string> = new Set();
  #records: KeyedRecord[] = [];
  readonly #restoredKeys = new Set<string>();
  readonly #runs = new Map<number, WaveRun>();
  #vms = new Map<string, VmInfo>();

  constructor(
    private readonly fleet: WaveFleet,
    private readonly log: MaintenanceLog,
  ) {}

  /** Adds a wave that was requested at a monotonic time, in ms; a wave that is already known is ignored. */
  onWave(wave: Wave, requestedAt: number): void {
    if (this.#runs.has(wave.id)) {
      return;
    }
    const run = new WaveRun(wave, requestedAt);
    for (const vm of run.vms.values()) {
      vm.isKnown = this.#vms.has(vm.id);
      const key = recordKey(wave.id, vm.id);
      Object.assign(vm, this.#earlierOrders.get(key));
      if (this.#restoredKeys.has(key)) {
        run.advance(vm, 'confirm', requestedAt);
      }
    }
    this.#runs.set(wave.id, run);
    this.log('wave-begins', { maxAtOnce: wave.maxAtOnce, vms: wave.vms.length, wave: wave.id });
  }

  /** Restores a record of an earlier term; returns false for records of another kind. */
  restore(key: string): boolean {
    if (!key.startsWith(RECORD_PREFIX) && !key.startsWith(COMPLETED_PREFIX)) {
      return false;
    }
    this.#restoredKeys.add(key);
    return true;
  }

  /** Restores an order of an earlier term whose answer may not have been stored; before the waves are added. */
  restoreOrder({ vm, wave }: MaintenanceOrder, order: EarlierOrder): void {
    this.#earlierOrders.set(recordKey(wave, vm), order);
  }

  /** Selects no more VMs until they are listed again: the service hardly carries out orders that it gets now. */
  onVmsUnavailable(): void {
    this.#areVmsListed = false;
  }

  /** Updates the VMs from a list that was requested at a monotonic time. */
  onVms(vms: readonly VmInfo[], requestedAt: number): void {
    this.#areVmsListed = true;
    this.#vms = new Map(vms.map((vm) => [vm.id, vm]));
    this.#listedDown = new Set(vms.filter(({ state }) => state === VM_STATE.maintenance).map(({ id }) => id));
    const listed = new Set(this.#vms.keys());
    for (const run of this.#runs.values()) {
      run.onList(listed, requestedAt);
      for (const vm of run.vms.values()) {
        const state = this.#vms.get(vm.id)?.state;
        const isBack = state === undefined ? run.isGone(vm) : state !== VM_STATE.maintenance;
        if (vm.stage === 'maintenance' && requestedAt > vm.since && isBack) {
          run.advance(vm, 'return', requestedAt);
        }
      }
    }
  }

  /** Handles the answer to an order. */
  onAnswer(order: MaintenanceOrder, answer: MaintenanceAnswer, now: number): void {
    const run = this.#runs.get(order.wave);
    const vm = run?.vms.get(order.vm);
    if (run === undefined || vm === undefined || vm.stage === 'maintenance' || vm.stage === 'done') {
      return;
    }
    vm.isOutstanding = false;
    this.log('maintenance-answered', { answer, vm: vm.id, wave: run.wave.id });
    if (answer === 'begun') {
      run.advance(vm, 'confirm', now);
      this.#records.push({ key: recordKey(run.wave.id, vm.id), value: '1' });
      const worker = vm.worker?.current();
      if (worker !== undefined) {
        this.fleet.onWorkerEnded(worker, now);
        this.#releaseWorker(run, vm, answer, now);
      }
    } else if (answer === 'unknown') {
      vm.lateUntil = now + LATE_VM_ORDER_WINDOW_MS;
    } else if (vm.stage === 'ordered' && isDecisive(answer, vm, now)) {
      this.#postpone(run, vm, answer, REFUSAL_BACKOFF_MS, now);
    }
  }

  /** Whether an order still has to be sent at a monotonic time. */
  isWanted(order: MaintenanceOrder, now: number): boolean {
    const vm = this.#runs.get(order.wave)?.vms.get(order.vm);
    return vm?.stage === 'ordered' && now - vm.orderedAt < ORDER_DECISION_LIMIT_MS;
  }

  /** Returns the actions that are due at a monotonic time. */
  plan(now: number): WavePlan {
    const plan: WavePlan = { orders: [], records: this.#records, reports: [] };
    this.#records = [];
    const runs = [...this.#runs.values()];
    const limits = new WaveLimits(runs, this.#listedDown, now);
    for (const run of runs) {
      this.#selectVms(run, limits, now);
      this.#evacuateVms(run, now);
      this.#orderMaintenance(run, limits, plan, now);
      this.#reportProgress(run, plan, now);
    }
    return plan;
  }

  #selectVms(run: WaveRun, limits: WaveLimits, now: number): void {
    if (!this.#areVmsListed) {
      return;
    }
    const limit = Math.min(run.wave.maxAtOnce, this.#requiredConcurrency(run, now));
    // VMs that an earlier order may still take come first: they count as down until their maintenance is confirmed.
    const candidates = [...run.vms.values()]
      .filter((vm) => vm.stage === 'pending' && vm.notBefore <= now && this.#isUp(vm))
      .sort(
        (a, b) =>
          Number(b.lateUntil > now) - Number(a.lateUntil > now) ||
          a.postponements - b.postponements ||
          this.#loadOf(a) - this.#loadOf(b),
      );
    for (const vm of candidates) {
      if (limits.maySelect(run, vm, limit) && this.#isWithinPoolLimit(vm, now)) {
        run.advance(vm, 'select', now);
        limits.onSelected(vm);
        vm.progressAt = now;
        vm.fewestRuns = this.#workerOf(vm)?.runs.size ?? 0;
        this.#claimWorker(run, vm, now + EVACUATION_STALL_MS, now);
        this.log('vm-emptied', { runs: vm.fewestRuns, vm: vm.id, wave: run.wave.id });
      }
    }
  }

  // Number of VMs to process at once so that the maintenance of all VMs begins within the planned share of the
  // wave's duration.
  #requiredConcurrency(run: WaveRun, now: number): number {
    const cyclesLeft = Math.max(1, (run.plannedEnd - now) / VM_CYCLE_MS);
    return Math.max(1, Math.ceil(run.remainingCount / cyclesLeft));
  }

  #evacuateVms(run: WaveRun, now: number): void {
    for (const vm of run.vms.values()) {
      if (vm.stage === 'evacuating' && !this.#isUp(vm)) {
        this.#postpone(run, vm, 'not-up', REFUSAL_BACKOFF_MS, now);
      }
      const worker = this.#workerOf(vm);
      if (vm.stage === 'evacuating' && worker !== undefined) {
        if (worker.runs.size < vm.fewestRuns) {
          vm.fewestRuns = worker.runs.size;
          vm.progressAt = now;
        }
        const until = vm.progressAt + stallLimitMs(worker);
        if (until <= now) {
          this.#postpone(run, vm, 'not-emptied', POSTPONEMENT_MS, now);
          continue;
        }
        this.#claimWorker(run, vm, until, now);
        for (const task of selectTasksToMove(worker, now - vm.since, now)) {
          this.fleet.moveAway(task, holderOf(run), now);
        }
      }
    }
  }

  #orderMaintenance(run: WaveRun, limits: WaveLimits, plan: WavePlan, now: number): void {
    for (const vm of run.vms.values()) {
      if (vm.stage === 'ordered' && now - vm.orderedAt >= ORDER_DECISION_LIMIT_MS) {
        vm.lateUntil = vm.isOutstanding ? now + LATE_VM_ORDER_WINDOW_MS : vm.lateUntil;
        this.#postpone(run, vm, 'unanswered', POSTPONEMENT_MS, now);
      }
      const isEmpty = (this.#workerOf(vm)?.runs.size ?? 0) === 0;
      const isDue = vm.stage === 'evacuating' && isEmpty && limits.mayOrder(run, vm);
      const isOverdue = vm.stage === 'ordered' && now - vm.since > ORDER_RETRY_MS;
      if (isDue) {
        run.advance(vm, 'order', now);
        limits.onOrdered(vm);
        vm.orderedAt = now;
        this.#claimWorker(run, vm, now + ORDER_DECISION_LIMIT_MS, now);
      }
      if (isDue || isOverdue) {
        vm.since = now;
        vm.isOutstanding = true;
        plan.orders.push({ vm: vm.id, wave: run.wave.id });
      }
    }
  }

  // A wave that an earlier leader found completed stays so, also where this one can't tell yet.
  #reportProgress(run: WaveRun, plan: WavePlan, now: number): void {
    const key = `${COMPLETED_PREFIX}${run.wave.id}`;
    const wasCompleted = this.#restoredKeys.has(key);
    const state = wasCompleted || run.isComplete(now) ? 'completed' : 'running';
    if (run.reportedState === state || run.reportedState === 'completed') {
      return;
    }
    run.reportedState = state;
    plan.reports.push({ state, wave: run.wave.id });
    if (state === 'completed' && !wasCompleted) {
      plan.records.push({ key, value: '1' });
    }
    const { remainingCount: open, wave } = run;
    this.log('wave-reported', { left: run.leftCount(now), open, state, wave: wave.id });
  }

  #isUp(vm: WaveVm): boolean {
    return this.#vms.get(vm.id)?.state === VM_STATE.up;
  }

  #loadOf(vm: WaveVm): number {
    const worker = this.#workerOf(vm);
    return worker === undefined ? 0 : worker.reserved.cpuMilli + worker.runs.size;
  }

  // The first VM of a pool is always allowed, so that pools of any size can be maintained.
  #isWithinPoolLimit(vm: WaveVm, now: number): boolean {
    const pool = this.#vms.get(vm.id)?.pool;
    const peers = [...this.#vms.values()].filter((peer) => peer.pool === pool);
    const unavailable = peers.filter((peer) => peer.state !== VM_STATE.up || this.#isClaimed(peer, now));
    return unavailable.length === 0 || unavailable.length + 1 <= MAX_UNAVAILABLE_SHARE * peers.length;
  }

  #isClaimed(vm: VmInfo, now: number): boolean {
    return this.fleet.workers.get(vm.workerId)?.vmClaim(now) !== undefined;
  }

  #workerOf(vm: WaveVm): Worker | undefined {
    return this.fleet.workers.get(this.#vms.get(vm.id)?.workerId ?? '');
  }

  // Another worker may have come to the VM since the first one was closed.
  #claimWorker(run: WaveRun, vm: WaveVm, until: number, now: number): void {
    const worker = this.#workerOf(vm);
    if (vm.worker?.current() !== worker) {
      this.#releaseWorker(run, vm, 'replaced', now);
      vm.worker = worker === undefined ? undefined : new WorkerIncarnation(worker);
    }
    if (worker !== undefined) {
      const claim = { holder: holderOf(run), reason: CLAIM_REASON.maintenance, until };
      this.fleet.vmClaims.claim(worker, claim, now);
    }
  }

  // Not the worker that is listed for the VM now: the list may have changed, or no longer contain the VM.
  #releaseWorker(run: WaveRun, vm: WaveVm, cause: string, now: number): void {
    const worker = vm.worker?.current();
    if (worker !== undefined && this.fleet.workers.get(worker.info.id) === worker) {
      const riskUntil = vm.stage === 'pending' ? vm.lateUntil : now;
      this.fleet.vmClaims.release(worker, holderOf(run), cause, now, riskUntil);
    }
  }

  // The VM is selected again later. An order for it may still be carried out until then.
  #postpone(run: WaveRun, vm: WaveVm, cause: string, forMs: number, now: number): void {
    run.advance(vm, 'refuse', now);
    vm.notBefore = now + forMs;
    vm.postponements += 1;
    this.#releaseWorker(run, vm, cause, now);
  }
}

function stallLimitMs(worker: Worker): number {
  const hasEndingTask = [...worker.runs.values()].some(({ step }) => !step.spec.longRunning);
  return hasEndingTask ? EVACUATION_STALL_MS : LONG_RUNNING_STALL_MS;
}

function isDecisive(answer: MaintenanceAnswer, vm: WaveVm, now: number): boolean {
  return answer === 'refused' || (answer === 'unsent' && vm.lateUntil <= now);
}

function holderOf(run: WaveRun): string {
  return `wave-${run.wave.id}`;
}

function recordKey(wave: number, vm: string): string {
  return `${RECORD_PREFIX}${wave}.${vm}`;
}
