import type { Scheduler, WorkerInfo } from '../../../src/jobs';
import type { InjectedFaults } from './injected-faults';
import type { SimulatedWorker } from './simulated-worker';

/** Change of an entry; without `info` the entry is removed. */
interface RegistryChange {
  id: string;
  info: WorkerInfo | undefined;
  /** Time from which on readers see the change, in ms. */
  visibleAt: number;
}

/** Registry of the workers: readers get each change of an entry once, and in order. */
export class SimulatedRegistry {
  readonly #changes: RegistryChange[] = [];
  readonly #written = new Map<string, string>();

  /** Stores the entries of the workers that have changed; readers see some of them late. */
  update(workers: readonly SimulatedWorker[], faults: InjectedFaults, now: number): void {
    for (const worker of workers) {
      const { id } = worker;
      const info = faults.isRegistered(id, now) ? worker.info : undefined;
      const text = info === undefined ? '' : JSON.stringify(info);
      if (text !== this.#written.get(id)) {
        this.#written.set(id, text);
        const visibleAt = Math.max(this.#changes.at(-1)?.visibleAt ?? 0, now + faults.entryDelayMs());
        this.#changes.push({ id, info, visibleAt });
      }
    }
  }

  /** Returns the changes from a position on that are visible. */
  read(position: number, now: number): readonly RegistryChange[] {
    return this.#changes.slice(position).filter((change) => change.visibleAt <= now);
  }
}

/** Passes the entries of the registry to a scheduler: at first the newest ones, later each change. */
export class SimulatedRegistryReader {
  #position = 0;

  constructor(
    private readonly registry: SimulatedRegistry,
    private readonly scheduler: Scheduler,
  ) {}

  /** Passes on what has become visible. */
  read(now: number): void {
    const changes = this.registry.read(this.#position, now);
    const isFirst = this.#position === 0;
    this.#position += changes.length;
    const newest = new Map(changes.map((change) => [change.id, change]));
    for (const { id, info } of isFirst ? newest.values() : changes) {
      if (info === undefined) {
        this.scheduler.onWorkerDeregistered(id);
      } else {
        this.scheduler.onWorkerRegistered(info, now);
      }
    }
  }
}
