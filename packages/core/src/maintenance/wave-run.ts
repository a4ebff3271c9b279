import type { WaveEvent, WaveStage } from '../charts/wave-vm.chart';
import type { Wave } from './wave';
import { transition } from '../charts/chart';
import { waveVmChart } from '../charts/wave-vm.chart';

/** A VM in a wave. */
export interface WaveVm {
  readonly id: string;
  /** Monotonic time before which the VM is not chosen again, in ms. */
  notBefore: number;
  /** Monotonic time of the present stage, in ms. */
  since: number;
  stage: WaveStage;
}

/** Stages in which a VM counts as down for its wave: an order may have been carried out. */
const DOWN: ReadonlySet<WaveStage> = new Set(['begun', 'ordered']);

/** A wave that is being carried out. */
export class WaveRun {
  /** What the operators were told last. */
  told: 'completed' | 'running' | undefined;
  readonly vms = new Map<string, WaveVm>();

  constructor(
    readonly wave: Wave,
    /** Monotonic time at which all VMs are due, in ms. */
    readonly dueAt: number,
  ) {
    for (const id of wave.vms) {
      this.vms.set(id, { id, notBefore: 0, since: 0, stage: waveVmChart.initial });
    }
  }

  /** Moves a VM on; false when the event means nothing in its stage. */
  advance(vm: WaveVm, event: WaveEvent, now: number): boolean {
    const next = transition(waveVmChart, vm.stage, event);
    if (next === undefined) {
      return false;
    }
    vm.stage = next;
    vm.since = now;
    return true;
  }

  /** Number of VMs that are or may be down for the wave. */
  get down(): number {
    return this.#count((vm) => DOWN.has(vm.stage));
  }

  /** Number of VMs that are being emptied. */
  get emptying(): number {
    return this.#count((vm) => vm.stage === 'emptying');
  }

  /** Number of VMs whose maintenance has not begun. */
  get open(): number {
    return this.#count((vm) => vm.stage !== 'begun' && vm.stage !== 'done');
  }

  #count(matches: (vm: WaveVm) => boolean): number {
    return [...this.vms.values()].filter(matches).length;
  }
}
