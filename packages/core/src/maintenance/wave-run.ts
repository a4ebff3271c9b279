import type { WaveEvent, WaveStage } from '../charts/wave-vm.chart';
import type { Wave } from './wave';
import type { WorkerIncarnation } from './worker-incarnation';
import { transition } from '../charts/chart';
import { waveVmChart } from '../charts/wave-vm.chart';

/** A VM of a maintenance wave. */
export interface WaveVm {
  readonly id: string;
  /** Monotonic time before which the VM is not selected again, in ms. */
  notBefore: number;
  /** Monotonic time at which the current stage began, in ms; an order that is repeated resets it. */
  since: number;
  stage: WaveStage;
  /** Monotonic time at which an order was last given up without an answer, in ms. */
  unansweredAt: number;
  /** Worker that is closed for the maintenance of the VM. */
  worker: WorkerIncarnation | undefined;
}

/** Stages in which a VM counts as down: its maintenance order may already have been carried out. */
const DOWN_STAGES: ReadonlySet<WaveStage> = new Set(['maintenance', 'ordered']);

/** Progress of a maintenance wave. */
export class WaveRun {
  /** State that was last reported to the operators. */
  reportedState: 'completed' | 'running' | undefined;
  readonly vms = new Map<string, WaveVm>();

  constructor(
    readonly wave: Wave,
    /** Monotonic time by which the maintenance of all VMs must have begun, in ms. */
    readonly deadline: number,
  ) {
    for (const id of wave.vms) {
      this.vms.set(id, {
        id,
        notBefore: 0,
        since: 0,
        stage: waveVmChart.initial,
        unansweredAt: -Infinity,
        worker: undefined,
      });
    }
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

  /** Number of VMs that are down for the wave, or may be. */
  get downCount(): number {
    return this.#count((vm) => DOWN_STAGES.has(vm.stage));
  }

  /** Number of VMs that are being evacuated. */
  get evacuatingCount(): number {
    return this.#count((vm) => vm.stage === 'evacuating');
  }

  /** Number of VMs whose maintenance hasn't begun. */
  get remainingCount(): number {
    return this.#count((vm) => vm.stage !== 'maintenance' && vm.stage !== 'done');
  }

  #count(matches: (vm: WaveVm) => boolean): number {
    return [...this.vms.values()].filter(matches).length;
  }
}
