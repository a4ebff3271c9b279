import type { WaveEvent, WaveStage } from '../charts/wave-vm.chart';
import type { Wave } from './wave';
import type { WorkerIncarnation } from './worker-incarnation';
import { transition } from '../charts/chart';
import { waveVmChart } from '../charts/wave-vm.chart';

/** Share of a wave's duration within which the maintenance of all its VMs should begin. */
export const START_TIME_SHARE = 0.55;

/** Number of lists in a row without a VM after which it counts as gone: the pages of one list are no snapshot. */
const LISTS_WITHOUT_GONE_VM = 2;

/** A VM of a maintenance wave. */
export interface WaveVm {
  /** Fewest runs that the worker has had since the VM was selected. */
  fewestRuns: number;
  readonly id: string;
  /** Whether a list has contained the VM, before the request for the wave or after it. */
  isKnown: boolean;
  /** Whether an order may be under way. */
  isOutstanding: boolean;
  /** Monotonic time until which an order without an answer may still be carried out, in ms. */
  lateUntil: number;
  /** Number of lists in a row, all asked for after the wave was requested, that did not contain the VM. */
  listsWithout: number;
  /** Monotonic time before which the VM is not selected again, in ms. */
  notBefore: number;
  /** Monotonic time at which maintenance was first ordered since the VM was selected, in ms. */
  orderedAt: number;
  /** How often the VM was selected in vain. */
  postponements: number;
  /** Monotonic time at which the worker was selected, or since then had its last run removed, in ms. */
  progressAt: number;
  /** Monotonic time at which the current stage began, in ms; an order that is repeated resets it. */
  since: number;
  stage: WaveStage;
  /** Worker that is closed for the maintenance of the VM. */
  worker: WorkerIncarnation | undefined;
}

/** Progress of a maintenance wave. */
export class WaveRun {
  /** State that was last reported to the operators. */
  reportedState: 'completed' | 'running' | undefined;
  readonly vms = new Map<string, WaveVm>();

  constructor(
    readonly wave: Wave,
    /** Monotonic time at which this node read the request for the wave, in ms. */
    readonly requestedAt: number,
  ) {
    for (const id of wave.vms) {
      this.vms.set(id, {
        fewestRuns: 0,
        id,
        isKnown: false,
        isOutstanding: false,
        lateUntil: -Infinity,
        listsWithout: 0,
        notBefore: 0,
        orderedAt: 0,
        postponements: 0,
        progressAt: 0,
        since: 0,
        stage: waveVmChart.initial,
        worker: undefined,
      });
    }
  }

  /** Monotonic time by which the maintenance of all VMs should have begun, in ms. */
  get plannedEnd(): number {
    return this.requestedAt + START_TIME_SHARE * this.wave.durationMs;
  }

  /** Notes which VMs are in a list that was asked for at a monotonic time, in ms. */
  onList(listed: ReadonlySet<string>, askedAt: number): void {
    for (const vm of this.vms.values()) {
      if (listed.has(vm.id)) {
        vm.isKnown = true;
        vm.listsWithout = 0;
      } else if (askedAt > this.requestedAt) {
        vm.listsWithout += 1;
      }
    }
  }

  /** Whether the maintenance of all VMs that have not left has begun, at a monotonic time in ms. */
  isComplete(now: number): boolean {
    return [...this.vms.values()].every((vm) => hasBegun(vm) || this.#hasLeft(vm, now));
  }

  /** Whether enough lists in a row, all asked for after the request for the wave, did not contain a VM. */
  isGone(vm: WaveVm): boolean {
    return vm.listsWithout >= LISTS_WITHOUT_GONE_VM;
  }

  /** Whether all VMs that have not left are back from their maintenance, at a monotonic time in ms. */
  isOver(now: number): boolean {
    return [...this.vms.values()].every(
      (vm) => vm.stage === 'done' || (!hasBegun(vm) && this.#hasLeft(vm, now)),
    );
  }

  /** Number of VMs that have left, at a monotonic time in ms, before their maintenance began. */
  leftCount(now: number): number {
    return this.#count((vm) => !hasBegun(vm) && this.#hasLeft(vm, now));
  }

  /** Moves a VM to its next stage; returns false when the stage has no transition for the event. */
  advance(vm: WaveVm, event: WaveEvent, now: number): boolean {
    const next = transition(waveVmChart, vm.stage, event);
    if (next === undefined) {
      return false;
    }
    vm.stage = next;
    vm.since = now;
    return true;
  }

  /** Number of VMs of the wave, without one of them, that are in a set of ids. */
  countIn(ids: ReadonlySet<string>, except: string): number {
    return this.#count(({ id }) => id !== except && ids.has(id));
  }

  /** Number of VMs whose maintenance hasn't begun. */
  get remainingCount(): number {
    return this.#count((vm) => !hasBegun(vm));
  }

  // A list that is older than the request doesn't show that a VM has left. One that no list has contained may still
  // arrive in time.
  #hasLeft(vm: WaveVm, now: number): boolean {
    return this.isGone(vm) && (vm.isKnown || now >= this.plannedEnd);
  }

  #count(matches: (vm: WaveVm) => boolean): number {
    return [...this.vms.values()].filter(matches).length;
  }
}

function hasBegun({ stage }: WaveVm): boolean {
  return stage === 'maintenance' || stage === 'done';
}
