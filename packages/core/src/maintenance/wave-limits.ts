import type { WaveStage } from '../charts/wave-vm.chart';
import type { WaveRun, WaveVm } from './wave-run';

/** Stages in which a VM counts as down: its maintenance order may already have been carried out. */
const DOWN_STAGES: ReadonlySet<WaveStage> = new Set(['maintenance', 'ordered']);

/** Stages in which a VM is being taken, or has been. */
const TAKEN_STAGES: ReadonlySet<WaveStage> = new Set(['evacuating', ...DOWN_STAGES]);

/**
 * Counts the VMs that are taken for maintenance, at one time and over all waves: a VM that is down for one wave counts in
 * each that it belongs to.
 */
export class WaveLimits {
  readonly #down: Set<string>;
  /** Waves of which a VM may be down, or may still be taken. */
  readonly #open: readonly WaveRun[];
  readonly #taken: Set<string>;

  /**
   * Counts at a monotonic time in ms; `listedDown` has the VMs that are listed as down for maintenance, also for an order
   * that this leader doesn't know.
   */
  constructor(runs: readonly WaveRun[], listedDown: ReadonlySet<string>, now: number) {
    this.#open = runs.filter((run) => !run.isOver(now));
    const vms = this.#open.flatMap((run) => [...run.vms.values()]);
    this.#down = new Set([...listedDown, ...idsOf(vms.filter((vm) => mayBeDown(vm, now)))]);
    this.#taken = new Set([...this.#down, ...idsOf(vms.filter(({ stage }) => TAKEN_STAGES.has(stage)))]);
  }

  /** Whether a VM may be taken for a wave, of which at most `limit` VMs may be taken now. */
  maySelect(run: WaveRun, vm: WaveVm, limit: number): boolean {
    return this.#isWithinLimits(run, vm, this.#taken, limit);
  }

  /** Whether the maintenance of a VM may be ordered for a wave. */
  mayOrder(run: WaveRun, vm: WaveVm): boolean {
    return this.#isWithinLimits(run, vm, this.#down, run.wave.maxAtOnce);
  }

  /** Counts a VM that was selected. */
  onSelected({ id }: WaveVm): void {
    this.#taken.add(id);
  }

  /** Counts a VM whose maintenance was ordered. */
  onOrdered({ id }: WaveVm): void {
    this.#down.add(id);
  }

  // Each other wave that the VM belongs to counts with its own maximum.
  #isWithinLimits(run: WaveRun, { id }: WaveVm, counted: ReadonlySet<string>, limit: number): boolean {
    return this.#open
      .filter((other) => other.vms.has(id))
      .every((other) => other.countIn(counted, id) < (other === run ? limit : other.wave.maxAtOnce));
  }
}

function idsOf(vms: readonly WaveVm[]): string[] {
  return vms.map(({ id }) => id);
}

function mayBeDown({ lateUntil, stage }: WaveVm, now: number): boolean {
  return DOWN_STAGES.has(stage) || (stage !== 'done' && lateUntil > now);
}
