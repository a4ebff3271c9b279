import type {
  MaintenanceAnswer,
  MaintenanceOrder,
  MoveAnswer,
  MoveOrder,
  StartOrder,
  VmInfo,
  WorkerInfo,
} from '../../../src/jobs';
import { PoolBalancer, Scheduler, START_ANSWER, WavePlanner, Worker } from '../../../src/jobs';
import { config, report, SCHEDULER_SETTINGS, worker } from '../../jobs/support/jobs';

/** Interval between rounds of planning, in ms. */
const ROUND_MS = 100;

/** Logged decision with its data. */
export interface LoggedDecision {
  data: Record<string, unknown>;
  decision: string;
}

/** Scheduler, balancer and wave planner with the pools `p`, `other` and `spare`, and a VM service that tests control. */
export class MaintainedFleet {
  /** Answers to maintenance orders; undefined while an order gets none. */
  answerMaintenance: (order: MaintenanceOrder) => MaintenanceAnswer | undefined = () => undefined;
  /** Answers to orders to move VMs; undefined while an order gets none. */
  answerMove: (order: MoveOrder) => MoveAnswer | undefined = () => undefined;
  readonly balancer: PoolBalancer;
  readonly decisions: LoggedDecision[] = [];
  /** Whether the VM list is available. */
  isListing = true;
  readonly maintenanceOrders: MaintenanceOrder[] = [];
  readonly moveOrders: MoveOrder[] = [];
  now = 0;
  readonly planner: WavePlanner;
  readonly scheduler: Scheduler;
  readonly starts: { at: number; order: StartOrder }[] = [];
  vms: VmInfo[] = [];

  constructor(...workers: [id: string, parts?: Partial<WorkerInfo>][]) {
    const log = (decision: string, data: Record<string, unknown>): void => {
      this.decisions.push({ data, decision });
    };
    this.scheduler = new Scheduler(SCHEDULER_SETTINGS, log);
    this.scheduler.onConfig({
      ...config(),
      pools: ['p', 'other', 'spare'].map((name) => ({
        enforcesCapacity: true,
        name,
        spare: name === 'spare',
      })),
    });
    this.balancer = new PoolBalancer(this.scheduler, log);
    this.planner = new WavePlanner(this.scheduler, log);
    for (const [id, parts = {}] of workers) {
      const info = worker(id, parts);
      this.scheduler.onWorkerRegistered(info, 0);
      this.scheduler.onReport(this.worker(id), report(), -1, 0);
      this.vms.push({
        id: `vm-${id}`,
        labels: info.labels,
        pool: info.pool,
        rack: info.rack,
        state: 'up',
        workerId: id,
        zone: info.zone,
      });
    }
  }

  /** Returns a worker; throws if it is not known. */
  worker(id: string): Worker {
    const found = this.scheduler.workers.get(id);
    if (!(found instanceof Worker)) {
      throw new Error(`no worker ${id}`);
    }
    return found;
  }

  /** Whether a worker can be assigned tasks now. */
  isOpen(id: string): boolean {
    return this.worker(id).isAssignable(this.now);
  }

  /** Changes what is listed of a VM. */
  updateVm(id: string, parts: Partial<VmInfo>): void {
    this.vms = this.vms.map((vm) => (vm.id === id ? { ...vm, ...parts } : vm));
  }

  /** Returns the times and workers of the starts of a task. */
  startsOf(task: string): [at: number, worker: string][] {
    return this.starts
      .filter(({ order }) => order.task.name === task)
      .map(({ at, order }) => [at, order.worker.info.id]);
  }

  /** Runs rounds of planning up to a time in ms. */
  run(until: number): void {
    while (this.now < until) {
      this.now += ROUND_MS;
      this.#maintain();
      this.scheduler.tick(this.now, this.now);
      this.scheduler.requestAssignment();
      const { starts } = this.scheduler.plan(this.now, this.now);
      for (const order of starts) {
        this.starts.push({ at: this.now, order });
        this.scheduler.onStartAnswer(order, START_ANSWER.started, this.now);
      }
    }
  }

  #maintain(): void {
    if (this.isListing) {
      this.planner.onVms(this.vms, this.now);
      this.balancer.onVms(this.vms, this.now);
    } else {
      this.planner.onVmsUnavailable();
      this.balancer.onVmsUnavailable();
    }
    const waves = this.planner.plan(this.now);
    const moves = this.balancer.plan(this.now, this.now, new Set(['spare']));
    for (const order of waves.orders) {
      this.maintenanceOrders.push(order);
      const answer = this.answerMaintenance(order);
      if (answer !== undefined) {
        this.planner.onAnswer(order, answer, this.now);
      }
    }
    for (const order of moves.orders) {
      this.moveOrders.push(order);
      const answer = this.answerMove(order);
      if (answer !== undefined) {
        this.balancer.onAnswer(order, answer, this.now);
      }
    }
  }
}
