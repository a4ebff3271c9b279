import type { WorkerUse } from './quarantine';
import type { Task } from './task';
import type { Resources } from './task-spec';
import { fits, minus, NO_RESOURCES, plus } from './resources';

/** Worker on which tasks of its pool can start. */
export interface SchedulableWorker {
  capacity: Resources;
  id: string;
  pool: string;
  /** Tasks with a lease on the worker. */
  running: readonly Task[];
  use: WorkerUse;
}

/** Weight and limit of a team. */
export interface TeamShare {
  /** Maximum number of tasks of the team that run at the same time. */
  maxRunning: number;
  weight: number;
}

/** Input of a planning round. Times in ms. */
export interface SchedulerInput {
  /** Returns the expected demand of a task. */
  expectedDemand: (task: Task) => Resources;
  now: number;
  /** Waiting tasks, in order of acceptance. */
  pending: readonly Task[];
  shareOf: (team: string) => TeamShare;
  workers: readonly SchedulableWorker[];
}

/** Assignment of a task to a worker. */
export interface Placement {
  demand: Resources;
  task: Task;
  worker: string;
}

/** Result of a planning round: the tasks to start, and the running tasks to evict for urgent ones. */
export interface TaskPlan {
  evictions: Task[];
  placements: Placement[];
}

/** Settings of the scheduler. */
export interface TaskSchedulerSettings {
  /** Time for which a task avoids a worker that, for example, had no free capacity for its last attempt, in ms. */
  avoidMs: number;
  /** Maximum number of tasks of one team that are considered in a round; limits the cost of a round. */
  lookAhead: number;
  /** Number of failed placements after which a round considers no more tasks of a team. */
  maxMisses: number;
  /** Wait after which a worker is reserved for a task that fits on no worker, in ms. */
  reserveAfterMs: number;
}

/** Default settings of the scheduler. */
export const DEFAULT_SCHEDULER_SETTINGS: TaskSchedulerSettings = {
  avoidMs: 1000,
  lookAhead: 1000,
  maxMisses: 10,
  reserveAfterMs: 30_000,
};

/** Worker during a round, with its free capacity. */
interface WorkerCapacity {
  free: Resources;
  /** Whether the worker is reserved for a large task that has waited long. */
  isReserved: boolean;
  /** Number of tasks placed in this round. */
  newTasks: number;
  worker: SchedulableWorker;
}

/** Waiting tasks of a team during a round. */
interface TeamQueue {
  /** Number of failed placements. */
  misses: number;
  nextIndex: number;
  share: TeamShare;
  tasks: Task[];
  usage: TeamUsage;
}

/** Resources used by a team, including tasks placed in this round. */
interface TeamUsage {
  processors: number;
  running: number;
}

/** State of one planning round. */
interface PlanningRound {
  input: SchedulerInput;
  plan: TaskPlan;
  /** Placement keys of tasks that fit on no worker; they stay so, because free capacity only shrinks in a round. */
  unplaceable: Set<string>;
  usages: Map<string, TeamUsage>;
  workers: Map<string, WorkerCapacity[]>;
}

/**
 * Decides which waiting tasks start on which workers: urgent tasks first, then by the processors that the team
 * uses relative to its weight, then in order of acceptance. Pure and deterministic, so that all entries with
 * the same state compute the same plan and each proposes the leases of its own tasks.
 */
export class TaskScheduler {
  constructor(private readonly settings: TaskSchedulerSettings = DEFAULT_SCHEDULER_SETTINGS) {}

  /** Computes the plan of one round. */
  plan(input: SchedulerInput): TaskPlan {
    const round = createRound(input);
    for (const urgent of [true, false]) {
      const queues = this.#queuesByTeam(round, urgent);
      for (let queue = this.#nextQueue(queues); queue !== undefined; queue = this.#nextQueue(queues)) {
        const task = queue.tasks[queue.nextIndex];
        queue.nextIndex += 1;
        if (task !== undefined) {
          this.#tryPlacement(task, queue, round);
        }
      }
    }
    return round.plan;
  }

  #tryPlacement(task: Task, queue: TeamQueue, round: PlanningRound): void {
    const demand = round.input.expectedDemand(task);
    const placementKey = placementKeyOf(task, demand);
    if (placementKey !== undefined && round.unplaceable.has(placementKey)) {
      return;
    }
    if (this.#place(task, demand, round)) {
      queue.usage.running += 1;
      queue.usage.processors += demand.processors;
      return;
    }
    queue.misses += 1;
    if (placementKey !== undefined) {
      round.unplaceable.add(placementKey);
    }
  }

  // Returns the queue whose team uses the fewest processors relative to its weight.
  #nextQueue(queues: readonly TeamQueue[]): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    for (const queue of queues) {
      if (queue.nextIndex >= queue.tasks.length || queue.misses >= this.settings.maxMisses) {
        continue;
      }
      if (queue.usage.running >= queue.share.maxRunning) {
        continue;
      }
      if (best === undefined || weightedUsage(queue) < weightedUsage(best)) {
        best = queue;
      }
    }
    return best;
  }

  #place(task: Task, demand: Resources, round: PlanningRound): boolean {
    const { input, plan } = round;
    const candidates = this.#candidates(task, round.workers.get(task.pool) ?? [], input.now);
    const chosen = bestFit(candidates, demand);
    if (chosen !== undefined) {
      chosen.free = minus(chosen.free, demand);
      chosen.newTasks += 1;
      plan.placements.push({ demand, task, worker: chosen.worker.id });
      return true;
    }
    if (task.urgent) {
      plan.evictions.push(...chooseEvictions(candidates, demand, plan.evictions));
    } else if (input.now - task.at > this.settings.reserveAfterMs) {
      reserveWorker(candidates, demand);
    }
    return false;
  }

  // Workers on which the task failed are candidates only when it failed on all other usable workers too.
  #candidates(task: Task, workers: readonly WorkerCapacity[], now: number): WorkerCapacity[] {
    const usable = workers.filter((candidate) => isUsable(task, candidate));
    const untried = usable.filter((candidate) => !task.failedOn.includes(candidate.worker.id));
    return (untried.length > 0 ? untried : usable).filter(
      (candidate) => !this.#avoids(task, candidate.worker.id, now),
    );
  }

  #avoids(task: Task, worker: string, now: number): boolean {
    const last = task.tries.findLast((ended) => ended.worker === worker);
    return last !== undefined && last.cause !== 'moved' && now - last.at <= this.settings.avoidMs;
  }

  #queuesByTeam(round: PlanningRound, urgent: boolean): TeamQueue[] {
    const queues = new Map<string, TeamQueue>();
    for (const task of round.input.pending) {
      if (task.urgent !== urgent) {
        continue;
      }
      const queue = queues.get(task.scope) ?? createTeamQueue(task.scope, round);
      queues.set(task.scope, queue);
      if (queue.tasks.length < this.settings.lookAhead) {
        queue.tasks.push(task);
      }
    }
    return [...queues.values()];
  }
}

function createRound(input: SchedulerInput): PlanningRound {
  const workers = new Map<string, WorkerCapacity[]>();
  const usages = new Map<string, TeamUsage>();
  for (const worker of input.workers) {
    for (const task of worker.running) {
      const usage = usageOf(usages, task.scope);
      usage.running += 1;
      usage.processors += task.lease?.demand.processors ?? 0;
    }
    if (worker.use !== 'quarantined') {
      const ofPool = workers.get(worker.pool) ?? [];
      ofPool.push(toWorkerCapacity(worker));
      workers.set(worker.pool, ofPool);
    }
  }
  return { input, plan: { evictions: [], placements: [] }, unplaceable: new Set(), usages, workers };
}

function usageOf(usages: Map<string, TeamUsage>, team: string): TeamUsage {
  const usage = usages.get(team) ?? { processors: 0, running: 0 };
  usages.set(team, usage);
  return usage;
}

function createTeamQueue(team: string, round: PlanningRound): TeamQueue {
  return {
    misses: 0,
    nextIndex: 0,
    share: round.input.shareOf(team),
    tasks: [],
    usage: usageOf(round.usages, team),
  };
}

function weightedUsage(queue: TeamQueue): number {
  return queue.usage.processors / queue.share.weight;
}

// Tasks with the same key fit on the same workers. A task with ended attempts has no key, because it avoids some
// workers; an urgent task has none, because each one evicts tasks for itself.
function placementKeyOf(task: Task, demand: Resources): string | undefined {
  if (task.tries.length > 0 || task.urgent) {
    return undefined;
  }
  const { accelerators, memoryMb, processors } = demand;
  return [task.pool, task.repeatable, accelerators, memoryMb, processors].join('/');
}

// A worker that is being probed gets one task at a time, and only a repeatable one, which can safely run again
// elsewhere.
function isUsable(task: Task, candidate: WorkerCapacity): boolean {
  const { worker } = candidate;
  if (candidate.isReserved && !task.urgent) {
    return false;
  }
  return worker.use !== 'probe' || (isEmpty(candidate) && task.repeatable);
}

function toWorkerCapacity(worker: SchedulableWorker): WorkerCapacity {
  const used = worker.running.reduce(
    (sum, task) => plus(sum, task.lease?.demand ?? NO_RESOURCES),
    NO_RESOURCES,
  );
  return { free: minus(worker.capacity, used), isReserved: false, newTasks: 0, worker };
}

function isEmpty(candidate: WorkerCapacity): boolean {
  return candidate.worker.running.length + candidate.newTasks === 0;
}

// Of the workers with enough free capacity, returns the one with the fewest free accelerators, then with the largest
// share of free processors. An empty worker also accepts a task whose estimate exceeds its processors or memory.
function bestFit(candidates: readonly WorkerCapacity[], demand: Resources): WorkerCapacity | undefined {
  let best: WorkerCapacity | undefined;
  for (const candidate of candidates) {
    const hasCapacity =
      fits(demand, candidate.free) ||
      (isEmpty(candidate) && demand.accelerators <= candidate.worker.capacity.accelerators);
    if (hasCapacity && (best === undefined || compareWorkers(candidate, best) < 0)) {
      best = candidate;
    }
  }
  return best;
}

function compareWorkers(a: WorkerCapacity, b: WorkerCapacity): number {
  return (
    a.free.accelerators - b.free.accelerators ||
    freeShare(b) - freeShare(a) ||
    (a.worker.id < b.worker.id ? -1 : 1)
  );
}

function freeShare(candidate: WorkerCapacity): number {
  return candidate.free.processors / Math.max(1, candidate.worker.capacity.processors);
}

// Chooses evictable tasks on the worker where the fewest evictions are needed. Capacity that
// evictions of an earlier round have freed counts, so a waiting urgent task keeps evicting on the same worker instead
// of evicting tasks on further workers.
function chooseEvictions(
  candidates: readonly WorkerCapacity[],
  demand: Resources,
  alreadyChosen: readonly Task[],
): Task[] {
  let best: Task[] | undefined;
  for (const candidate of candidates) {
    const evictable = candidate.worker.running.filter(
      (task) => isEvictable(task) && !alreadyChosen.includes(task),
    );
    const evicted: Task[] = [];
    let free = candidate.free;
    for (const task of evictable.toReversed()) {
      if (fits(demand, free)) {
        break;
      }
      free = plus(free, task.lease?.demand ?? NO_RESOURCES);
      evicted.push(task);
    }
    if (fits(demand, free) && (best === undefined || evicted.length < best.length)) {
      best = evicted;
    }
  }
  return best ?? [];
}

// A repeatable task whose worker has reported a checkpoint can continue on another worker.
function isEvictable(task: Task): boolean {
  return task.repeatable && !task.urgent && task.checkpoint !== undefined;
}

function reserveWorker(candidates: readonly WorkerCapacity[], demand: Resources): void {
  const [freest] = candidates
    .filter((candidate) => !candidate.isReserved && fits(demand, candidate.worker.capacity))
    .sort((a, b) => b.free.processors - a.free.processors);
  if (freest !== undefined) {
    freest.isReserved = true;
  }
}
