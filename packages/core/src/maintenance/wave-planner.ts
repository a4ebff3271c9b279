import type { KeyedRecord } from '../jobs/job-record';
import type { Task } from '../jobs/task';
import type { Worker } from '../jobs/worker';
import type { VmInfo, Wave } from './wave';
import type { WaveVm } from './wave-run';
import { tasksToMove } from './evacuation';
import { VM_STATE } from './wave';
import { WaveRun } from './wave-run';

/** What the planner sees and may do. */
export interface WaveFleet {
  moveAway: (task: Task, reason: string, now: number) => void;
  /** Takes the end of a worker's life: nothing runs on it any more. */
  onWorkerEnded: (worker: Worker, now: number) => void;
  workers: ReadonlyMap<string, Worker>;
}

/** Order to take a VM down for a wave. */
export interface MaintenanceOrder {
  vm: string;
  wave: number;
}

/** What the operators are told about a wave. */
export interface WaveReport {
  state: 'completed' | 'running';
  wave: number;
}

/** What is to be done for the waves. */
export interface WavePlan {
  orders: MaintenanceOrder[];
  records: KeyedRecord[];
  reports: WaveReport[];
}

/** Answers to an order to take a VM down. */
export type MaintenanceAnswer = 'begun' | 'refused' | 'unknown';

/** Takes the decisions of the planner, with what decided them. */
export type WaveLog = (decision: string, data: Record<string, unknown>) => void;

/** Usual time for emptying a VM and its maintenance, in ms. */
const CYCLE_MS = 5000;

/** Part of a wave's time in which all its VMs should have begun. */
const PLANNED_TIME = 0.75;

/** Largest part of a pool that is emptied or down at once, for any wave. */
const MAX_POOL_SHARE = 0.5;

/** Time for which a VM that was refused is left alone, in ms. */
const REFUSED_PAUSE_MS = 1500;

/** Time after which an order without a clear answer is repeated, in ms. */
const REPEAT_MS = 500;

const RECORD_PREFIX = 'v.';

/** Carries out maintenance waves: empties VMs in turn, orders them down, and tells how far the wave is. */
export class WavePlanner {
  #records: KeyedRecord[] = [];
  readonly #restored = new Set<string>();
  readonly #runs = new Map<number, WaveRun>();
  #vms = new Map<string, VmInfo>();
  #vmsAskedAt = -Infinity;

  constructor(
    private readonly fleet: WaveFleet,
    private readonly log: WaveLog,
  ) {}

  /** Takes a wave that was asked for at a monotonic time, in ms. */
  onWave(wave: Wave, askedAt: number): void {
    if (this.#runs.has(wave.id)) {
      return;
    }
    const run = new WaveRun(wave, askedAt + wave.durationMs);
    for (const vm of run.vms.values()) {
      if (this.#restored.has(recordKey(wave.id, vm.id))) {
        run.advance(vm, 'confirm', askedAt);
      }
    }
    this.#runs.set(wave.id, run);
    this.log('wave-begins', { maxAtOnce: wave.maxAtOnce, vms: wave.vms.length, wave: wave.id });
  }

  /** Takes a record of an earlier term; false when it is of another kind. */
  restore(key: string): boolean {
    if (!key.startsWith(RECORD_PREFIX)) {
      return false;
    }
    this.#restored.add(key);
    return true;
  }

  /** Takes the list of VMs, asked for at a monotonic time. */
  onVms(vms: readonly VmInfo[], askedAt: number): void {
    this.#vms = new Map(vms.map((vm) => [vm.id, vm]));
    this.#vmsAskedAt = askedAt;
    for (const run of this.#runs.values()) {
      for (const vm of run.vms.values()) {
        if (vm.stage === 'begun' && askedAt > vm.since && this.#vms.get(vm.id)?.state === VM_STATE.up) {
          run.advance(vm, 'back', askedAt);
        }
      }
    }
  }

  /** Takes the answer to an order. */
  onAnswer(order: MaintenanceOrder, answer: MaintenanceAnswer, now: number): void {
    const run = this.#runs.get(order.wave);
    const vm = run?.vms.get(order.vm);
    if (run === undefined || vm?.stage !== 'ordered') {
      return;
    }
    this.log('maintenance-answered', { answer, vm: vm.id, wave: run.wave.id });
    if (answer === 'begun') {
      run.advance(vm, 'confirm', now);
      this.#records.push({ key: recordKey(run.wave.id, vm.id), value: '1' });
      const worker = this.#workerOf(vm);
      if (worker !== undefined) {
        this.fleet.onWorkerEnded(worker, now);
      }
    } else if (answer === 'refused') {
      run.advance(vm, 'refuse', now);
      vm.notBefore = now + REFUSED_PAUSE_MS;
      this.#setEvacuating(vm, false);
    }
  }

  /** What is to be done now. */
  plan(now: number): WavePlan {
    const plan: WavePlan = { orders: [], records: this.#records, reports: [] };
    this.#records = [];
    for (const run of this.#runs.values()) {
      this.#choose(run, now);
      this.#empty(run, now);
      this.#order(run, plan, now);
      this.#report(run, plan);
    }
    return plan;
  }

  #choose(run: WaveRun, now: number): void {
    let free = Math.min(run.wave.maxAtOnce, this.#wanted(run, now)) - run.down - run.emptying;
    const candidates = [...run.vms.values()]
      .filter((vm) => vm.stage === 'pending' && vm.notBefore <= now && this.#isUp(vm))
      .sort((a, b) => this.#load(a) - this.#load(b));
    for (const vm of candidates) {
      if (free <= 0) {
        return;
      }
      if (this.#poolHasRoom(vm)) {
        run.advance(vm, 'choose', now);
        this.#setEvacuating(vm, true);
        this.log('vm-emptied', { runs: this.#workerOf(vm)?.runs.size ?? 0, vm: vm.id, wave: run.wave.id });
        free -= 1;
      }
    }
  }

  // VMs that must be in work at once so that all have begun in the planned part of the time.
  #wanted(run: WaveRun, now: number): number {
    const plannedEnd = run.dueAt - (1 - PLANNED_TIME) * run.wave.durationMs;
    const cyclesLeft = Math.max(1, (plannedEnd - now) / CYCLE_MS);
    return Math.max(1, Math.ceil(run.open / cyclesLeft));
  }

  #empty(run: WaveRun, now: number): void {
    for (const vm of run.vms.values()) {
      const worker = this.#workerOf(vm);
      if (vm.stage === 'emptying' && worker !== undefined) {
        worker.isEvacuating = true;
        for (const task of tasksToMove(worker, now - vm.since, now)) {
          this.fleet.moveAway(task, `wave-${run.wave.id}`, now);
        }
      }
    }
  }

  #order(run: WaveRun, plan: WavePlan, now: number): void {
    for (const vm of run.vms.values()) {
      const isEmpty = (this.#workerOf(vm)?.runs.size ?? 0) === 0;
      const isDue = vm.stage === 'emptying' && isEmpty && run.down < run.wave.maxAtOnce;
      const isOverdue = vm.stage === 'ordered' && now - vm.since > REPEAT_MS;
      if (isDue) {
        run.advance(vm, 'order', now);
      }
      if (isDue || isOverdue) {
        vm.since = now;
        plan.orders.push({ vm: vm.id, wave: run.wave.id });
      }
    }
  }

  // VMs that have left the fleet need no maintenance.
  #report(run: WaveRun, plan: WavePlan): void {
    const isListed = this.#vmsAskedAt > -Infinity;
    const isOpen = [...run.vms.values()].some(
      (vm) => vm.stage !== 'begun' && vm.stage !== 'done' && this.#vms.has(vm.id),
    );
    const state = isListed && !isOpen ? 'completed' : 'running';
    if (run.told !== state && run.told !== 'completed') {
      run.told = state;
      plan.reports.push({ state, wave: run.wave.id });
      this.log('wave-reported', { open: run.open, state, wave: run.wave.id });
    }
  }

  #isUp(vm: WaveVm): boolean {
    return this.#vms.get(vm.id)?.state === VM_STATE.up;
  }

  #load(vm: WaveVm): number {
    const worker = this.#workerOf(vm);
    return worker === undefined ? 0 : worker.reserved.cpuMilli + worker.runs.size;
  }

  #poolHasRoom(vm: WaveVm): boolean {
    const pool = this.#vms.get(vm.id)?.pool;
    const peers = [...this.#vms.values()].filter((peer) => peer.pool === pool);
    const away = peers.filter((peer) => peer.state !== VM_STATE.up || this.#isEvacuating(peer));
    return away.length === 0 || away.length + 1 <= MAX_POOL_SHARE * peers.length;
  }

  #isEvacuating(vm: VmInfo): boolean {
    return this.fleet.workers.get(vm.workerId)?.isEvacuating ?? false;
  }

  #workerOf(vm: WaveVm): Worker | undefined {
    return this.fleet.workers.get(this.#vms.get(vm.id)?.workerId ?? '');
  }

  #setEvacuating(vm: WaveVm, evacuating: boolean): void {
    const worker = this.#workerOf(vm);
    if (worker !== undefined) {
      worker.isEvacuating = evacuating;
    }
  }
}

function recordKey(wave: number, vm: string): string {
  return `${RECORD_PREFIX}${wave}.${vm}`;
}
