import { describe, expect, it } from 'vitest';
import type { MaintenanceAnswer, MaintenanceOrder, Wave } from '../../src/jobs';
import { MaintainedFleet } from './support/maintained-fleet';

/** Time for which a VM is down for its maintenance, in ms. */
const MAINTENANCE_MS = 2000;

/** Two waves that both contain `vm-a`. */
const WAVES = [wave(1, ['vm-a', 'vm-b', 'vm-c']), wave(2, ['vm-a', 'vm-d', 'vm-e'])];

function wave(id: number, vms: string[], maxAtOnce = 1): Wave {
  return { durationMs: 40_000, id, maxAtOnce, vms };
}

/** Fleet whose VM service carries out each order, and notes every VM that goes down beside too many of a wave. */
class ServedFleet extends MaintainedFleet {
  /** What the service does with an order; it is carried out after a delay in ms, if at all. */
  answer: (order: MaintenanceOrder) => { afterMs?: number; answer: MaintenanceAnswer } = () => ({
    afterMs: 0,
    answer: 'begun',
  });
  readonly begun: string[] = [];
  readonly broken: string[] = [];
  #due: { at: number; order: MaintenanceOrder }[] = [];
  readonly #upAt = new Map<string, number>();

  constructor(private readonly waves: Wave[]) {
    super(['a'], ['b'], ['c'], ['d'], ['e'], ['f'], ['g'], ['h'], ['i'], ['j']);
    for (const item of waves) {
      this.planner.onWave(item, 0);
    }
    this.answerMaintenance = (order) => {
      if (this.#upAt.has(order.vm)) {
        return 'refused';
      }
      const { afterMs, answer } = this.answer(order);
      if (afterMs !== undefined) {
        this.#due.push({ at: this.now + afterMs, order });
        this.#carryOut();
      }
      return answer;
    };
  }

  get reportedStates(): unknown[] {
    return this.decisions
      .filter(({ decision }) => decision === 'wave-reported')
      .map(({ data }) => data.state);
  }

  override run(until: number): void {
    while (this.now < until) {
      for (const [vm, at] of this.#upAt) {
        if (at <= this.now) {
          this.#upAt.delete(vm);
          this.updateVm(vm, { state: 'up' });
        }
      }
      this.#carryOut();
      super.run(this.now + 100);
    }
  }

  #carryOut(): void {
    const due = this.#due.filter(({ at }) => at <= this.now);
    this.#due = this.#due.filter(({ at }) => at > this.now);
    for (const { order } of due) {
      const name = `${order.vm} for ${order.wave}`;
      if (this.#upAt.has(order.vm) || this.begun.includes(name)) {
        continue;
      }
      this.begun.push(name);
      const down = [...this.#upAt.keys()];
      const full = this.waves.filter(
        ({ maxAtOnce, vms }) =>
          vms.includes(order.vm) && down.filter((vm) => vms.includes(vm)).length >= maxAtOnce,
      );
      this.broken.push(...full.map(({ id }) => `${name} beside ${down.join()}, wave ${id}`));
      this.#upAt.set(order.vm, this.now + MAINTENANCE_MS);
      this.updateVm(order.vm, { state: 'maintenance' });
    }
  }
}

// Guards against more VMs of a wave that are down at once than its maximum, one of them for another wave.
describe('waves that share a VM', () => {
  it('take the VMs of each one at a time, and both are completed', () => {
    const fleet = new ServedFleet(WAVES);
    fleet.run(30_000);
    expect(fleet.broken).toEqual([]);
    expect(fleet.begun).toHaveLength(6);
    expect(fleet.reportedStates).toEqual(['running', 'running', 'completed', 'completed']);
  });

  it('wait for a VM that is done for one and down for the other', () => {
    const fleet = new ServedFleet(WAVES);
    // `vm-a` is done for the first wave at once, and is up for the second one a while later.
    fleet.answer = ({ vm }) =>
      vm === 'vm-b' && fleet.now < 4000 ? { answer: 'refused' } : { afterMs: 0, answer: 'begun' };
    fleet.run(30_000);
    expect(fleet.broken).toEqual([]);
    expect(fleet.begun).toHaveLength(6);
  });

  it('wait for a VM whose order for one of them was not answered and may still be carried out', () => {
    const fleet = new ServedFleet(WAVES);
    fleet.answer = ({ vm, wave: id }) =>
      vm === 'vm-a' && id === 2 && fleet.now < 8000
        ? { afterMs: 6500, answer: 'unknown' }
        : { afterMs: 0, answer: 'begun' };
    fleet.run(40_000);
    expect(fleet.broken).toEqual([]);
    expect(fleet.begun).toHaveLength(6);
  });

  it('wait for a VM that is listed as down before the order of this leader', () => {
    const fleet = new ServedFleet(WAVES);
    fleet.updateVm('vm-a', { state: 'maintenance' });
    fleet.run(MAINTENANCE_MS);
    expect(fleet.begun).toEqual([]);
  });

  it('allow more than one VM at once up to the maximum of each', () => {
    const fleet = new ServedFleet([
      wave(1, ['vm-a', 'vm-b', 'vm-c'], 2),
      wave(2, ['vm-b', 'vm-c', 'vm-d'], 2),
      wave(3, ['vm-a', 'vm-d', 'vm-e'], 1),
    ]);
    fleet.run(40_000);
    expect(fleet.broken).toEqual([]);
    expect(fleet.begun).toHaveLength(9);
  });
});

it('waves that share no VM do not wait for each other', () => {
  const fleet = new ServedFleet([wave(1, ['vm-a', 'vm-b']), wave(2, ['vm-c', 'vm-d'])]);
  fleet.run(1000);
  expect(fleet.begun).toHaveLength(2);
});
