import type { Demand, Job, MoveAnswer, MoveOrder, VmInfo, Worker } from '../../../src/jobs';
import { PoolBalancer, RUN_END, Scheduler, START_ANSWER } from '../../../src/jobs';
import { config, SCHEDULER_SETTINGS, worker } from '../../jobs/support/jobs';

const TICK_MS = 100;

const MOVE_DURATION_MS = 2000;

/** Name of the pool whose VMs are switched off. */
export const SPARE_POOL = 'spare';

/** VM of a simulated fleet; its workers have 4 cores and 1,000 MB unless stated otherwise. */
export interface VmParts {
  capacity?: Demand;
  /** Capacity of the workers that the VM gets with its next moves, if the list of VMs is wrong about it. */
  capacityAfterMove?: Demand;
  id: string;
  labels?: string[];
  pool: string;
}

interface SimulatedVm extends VmParts {
  capacity: Demand;
  labels: string[];
  /** Number of moves; each gives the VM another worker. */
  moveCount: number;
  /** Monotonic time from which the VM is up, in ms. */
  upAt: number;
}

/**
 * Simulates a leader that assigns tasks and moves VMs between pools, on a virtual clock. A task runs for the
 * estimate of its step, or until its job is cancelled if it is long-running.
 */
export class PoolFleet {
  /** Answers the orders for VMs; by default all are carried out. */
  answerMove: (order: MoveOrder, now: number) => MoveAnswer = () => 'moved';
  readonly #balancer: PoolBalancer;
  readonly #endsAt = new Map<string, number>();
  readonly #lastEnds = new Map<Worker, number>();
  /** Orders to move VMs, oldest first, each once. */
  readonly moves: MoveOrder[] = [];
  now = 0;
  readonly #scheduler = new Scheduler(SCHEDULER_SETTINGS, () => undefined);
  /** Tasks that were started, oldest first. */
  readonly started: string[] = [];
  readonly #vms: SimulatedVm[];

  constructor(vms: readonly VmParts[]) {
    const cfg = config();
    const names = new Set(['p', ...vms.map(({ pool }) => pool), SPARE_POOL]);
    const pools = [...names].map((name) => ({ enforcesCapacity: true, name, spare: name === SPARE_POOL }));
    this.#scheduler.onConfig({ ...cfg, pools });
    this.#vms = vms.map((parts) => ({
      ...parts,
      capacity: parts.capacity ?? worker('').capacity,
      labels: parts.labels ?? [],
      moveCount: 0,
      upAt: 0,
    }));
    for (const vm of this.#vms) {
      this.#register(vm);
    }
    this.#balancer = new PoolBalancer(this.#scheduler, () => undefined);
  }

  /** Ids of the VMs in a pool, including those that are being moved to it. */
  vmsIn(pool: string): string[] {
    return this.#vms.filter((vm) => vm.pool === pool).map(({ id }) => id);
  }

  /** Adds an accepted job. */
  add(job: Job): void {
    this.#scheduler.onJob(job, [], this.now, this.now);
  }

  /** Pauses the worker of a VM for a time in ms, as after a refused order. */
  pause(id: string, durationMs: number): void {
    const vm = this.#vms.find((item) => item.id === id);
    const target = this.#scheduler.workers.get(vm === undefined ? '' : workerIdOf(vm));
    if (target !== undefined) {
      target.pausedUntil = this.now + durationMs;
    }
  }

  /** Advances the virtual clock by a duration in ms. */
  run(durationMs: number): void {
    const until = this.now + durationMs;
    for (; this.now < until; this.now += TICK_MS) {
      this.#report();
      this.#assign();
      this.#balance();
    }
  }

  #register(vm: SimulatedVm): void {
    const { id, labels, moveCount, pool } = vm;
    const capacity = moveCount > 0 ? (vm.capacityAfterMove ?? vm.capacity) : vm.capacity;
    const info = worker(workerIdOf(vm), { address: `${id}:${moveCount}`, capacity, labels, pool });
    this.#scheduler.onWorkerRegistered(info, this.now);
  }

  #report(): void {
    for (const target of [...this.#scheduler.workers.values()]) {
      if (target.info.pool === SPARE_POOL || target.isDeregistered) {
        continue;
      }
      const ended = [...target.runs.values()].filter(
        ({ name }) => (this.#endsAt.get(name) ?? Infinity) <= this.now,
      );
      const running = [...target.runs.values()].filter((task) => !ended.includes(task));
      this.#scheduler.onReport(
        target,
        {
          bornAt: 1,
          clockMs: this.now,
          ended: ended.map(({ name, run }) => ({
            checkpoint: '',
            end: RUN_END.done,
            number: this.#nextEnd(target),
            run,
            task: name,
          })),
          running: running.map(({ name, run }) => ({
            checkpoint: '',
            load: 0,
            percent: 100,
            run,
            task: name,
          })),
        },
        this.now,
        this.now,
      );
    }
  }

  #nextEnd(target: Worker): number {
    const number = (this.#lastEnds.get(target) ?? 0) + 1;
    this.#lastEnds.set(target, number);
    return number;
  }

  #assign(): void {
    this.#scheduler.tick(this.now, this.now);
    this.#scheduler.requestAssignment();
    for (const order of this.#scheduler.plan(this.now, this.now).starts) {
      const { estimatedMs, longRunning } = order.task.step.spec;
      this.started.push(order.task.name);
      this.#endsAt.set(order.task.name, longRunning ? Infinity : this.now + estimatedMs);
      this.#scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
    }
  }

  #balance(): void {
    for (const vm of this.#vms.filter((item) => item.moveCount > 0 && item.upAt === this.now)) {
      this.#register(vm);
    }
    const listed = this.#vms.map((vm): VmInfo => ({
      capacity: vm.capacity,
      id: vm.id,
      labels: vm.labels,
      pool: vm.pool,
      rack: 'r1',
      state: vm.moveCount === 0 || vm.upAt < this.now ? 'up' : 'moving',
      workerId: workerIdOf(vm),
      zone: 'z1',
    }));
    this.#balancer.onVms(listed, this.now);
    for (const order of this.#balancer.plan(this.now, this.now, new Set([SPARE_POOL])).orders) {
      this.#order(order);
    }
  }

  #order(order: MoveOrder): void {
    if (!this.moves.some(({ pool, vm }) => pool === order.pool && vm === order.vm)) {
      this.moves.push(order);
    }
    const answer = this.answerMove(order, this.now);
    const vm = this.#vms.find((item) => item.id === order.vm);
    this.#balancer.onAnswer(order, answer, this.now);
    if (answer === 'moved' && vm !== undefined) {
      this.#scheduler.onWorkerDeregistered(workerIdOf(vm));
      vm.moveCount += 1;
      vm.pool = order.pool;
      vm.upAt = this.now + MOVE_DURATION_MS;
    }
  }
}

function workerIdOf({ id, moveCount }: SimulatedVm): string {
  return `${id}-${moveCount}`;
}
