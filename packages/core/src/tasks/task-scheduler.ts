import type { WorkerUse } from './set-aside';
import type { Task } from './task';
import type { Resources } from './task-spec';
import { fits, minus, NO_RESOURCES, plus } from './resources';

/** A worker on which tasks of its pool may start. */
export interface SchedulableWorker {
  capacity: Resources;
  id: string;
  pool: string;
  /** Tasks that hold a lease on the worker. */
  running: readonly Task[];
  use: WorkerUse;
}

/** Share and limit of a team. */
export interface TeamShare {
  /** Most tasks of the team that run at a time. */
  maxRunning: number;
  weight: number;
}

/** What the scheduler decides from. */
export interface SchedulerInput {
  /** Expected demand of a task. */
  expect: (task: Task) => Resources;
  now: number;
  /** Tasks that wait, in the order of acceptance. */
  pending: readonly Task[];
  shareOf: (team: string) => TeamShare;
  workers: readonly SchedulableWorker[];
}

/** A task that is to start on a worker. */
export interface Placement {
  demand: Resources;
  task: Task;
  worker: string;
}

/** What is to start, and which running tasks are to give way to urgent ones. */
export interface TaskPlan {
  evictions: Task[];
  placements: Placement[];
}

/** Settings of the scheduler. */
export interface TaskSchedulerSettings {
  /** Time for which a task avoids a worker that had no room for it, in ms. */
  avoidMs: number;
  /** Tasks of one team that are looked at in a round, so that a round's cost is bounded. */
  lookAhead: number;
  /** Tasks of one team that may fit nowhere before a round turns to other teams, for the same reason. */
  maxMisses: number;
  /** Wait after which a task that fits nowhere gets a worker kept for it, in ms. */
  reserveAfterMs: number;
}

/** Settings of the scheduler unless given. */
export const DEFAULT_SCHEDULER_SETTINGS: TaskSchedulerSettings = {
  avoidMs: 1000,
  lookAhead: 200,
  maxMisses: 10,
  reserveAfterMs: 30_000,
};

interface Seat {
  free: Resources;
  /** Kept for a large task that has waited long. */
  kept: boolean;
  newTasks: number;
  worker: SchedulableWorker;
}

interface TeamQueue {
  misses: number;
  next: number;
  running: number;
  share: TeamShare;
  tasks: Task[];
  used: number;
}

/**
 * Decides which waiting tasks start on which workers: urgent tasks first, then the team with the least
 * processors in use for its weight, then the order of acceptance. Pure and deterministic, so that all
 * entries with the same state reach the same plan and each proposes the leases of its own tasks.
 */
export class TaskScheduler {
  constructor(private readonly settings: TaskSchedulerSettings = DEFAULT_SCHEDULER_SETTINGS) {}

  /** Plans one round. */
  plan(input: SchedulerInput): TaskPlan {
    const seats = input.workers.filter((worker) => worker.use !== 'aside').map(toSeat);
    const plan: TaskPlan = { evictions: [], placements: [] };
    for (const urgent of [true, false]) {
      const queues = this.#queues(input, urgent, plan);
      for (let queue = this.#next(queues); queue !== undefined; queue = this.#next(queues)) {
        const task = queue.tasks[queue.next];
        queue.next += 1;
        if (task !== undefined && this.#place(task, input, seats, plan)) {
          queue.running += 1;
          queue.used += input.expect(task).processors;
        } else {
          queue.misses += 1;
        }
      }
    }
    return plan;
  }

  // The queue whose team has the least processors in use for its weight.
  #next(queues: readonly TeamQueue[]): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    for (const queue of queues) {
      if (queue.next >= queue.tasks.length || queue.misses >= this.settings.maxMisses) {
        continue;
      }
      if (queue.running >= queue.share.maxRunning) {
        continue;
      }
      if (best === undefined || queue.used / queue.share.weight < best.used / best.share.weight) {
        best = queue;
      }
    }
    return best;
  }

  #place(task: Task, input: SchedulerInput, seats: readonly Seat[], plan: TaskPlan): boolean {
    const demand = input.expect(task);
    const candidates = this.#candidates(task, seats, input.now);
    const seat = bestSeat(candidates, demand);
    if (seat !== undefined) {
      seat.free = minus(seat.free, demand);
      seat.newTasks += 1;
      plan.placements.push({ demand, task, worker: seat.worker.id });
      return true;
    }
    if (task.urgent) {
      plan.evictions.push(...makeRoom(candidates, demand, plan.evictions));
    } else if (input.now - task.at > this.settings.reserveAfterMs) {
      keepRoomiest(candidates, demand);
    }
    return false;
  }

  // Workers on which the task failed come into question only when it failed on all others too.
  #candidates(task: Task, seats: readonly Seat[], now: number): Seat[] {
    const usable = seats.filter((seat) => isUsable(task, seat));
    const untried = usable.filter((seat) => !task.failedOn.includes(seat.worker.id));
    return (untried.length > 0 ? untried : usable).filter((seat) => !this.#avoids(task, seat.worker.id, now));
  }

  #avoids(task: Task, worker: string, now: number): boolean {
    const last = task.tries.findLast((tried) => tried.worker === worker);
    return last !== undefined && last.cause !== 'moved' && now - last.at <= this.settings.avoidMs;
  }

  #queues(input: SchedulerInput, urgent: boolean, plan: TaskPlan): TeamQueue[] {
    const queues = new Map<string, TeamQueue>();
    for (const task of input.pending) {
      if (task.urgent !== urgent) {
        continue;
      }
      const queue = queues.get(task.scope) ?? openQueue(task.scope, input, plan);
      queues.set(task.scope, queue);
      if (queue.tasks.length < this.settings.lookAhead) {
        queue.tasks.push(task);
      }
    }
    return [...queues.values()];
  }
}

// A worker that is probed gets one task that may safely run again elsewhere.
function isUsable(task: Task, seat: Seat): boolean {
  const { worker } = seat;
  if (worker.pool !== task.pool || (seat.kept && !task.urgent)) {
    return false;
  }
  return worker.use !== 'probe' || (isEmpty(seat) && task.repeatable);
}

function openQueue(team: string, input: SchedulerInput, plan: TaskPlan): TeamQueue {
  const running = input.workers.flatMap((worker) => worker.running.filter((task) => task.scope === team));
  const placed = plan.placements.filter((placement) => placement.task.scope === team);
  const demands = [
    ...running.map((task) => task.lease?.demand ?? NO_RESOURCES),
    ...placed.map((placement) => placement.demand),
  ];
  return {
    misses: 0,
    next: 0,
    running: demands.length,
    share: input.shareOf(team),
    tasks: [],
    used: demands.reduce((sum, demand) => sum + demand.processors, 0),
  };
}

function toSeat(worker: SchedulableWorker): Seat {
  const used = worker.running.reduce(
    (sum, task) => plus(sum, task.lease?.demand ?? NO_RESOURCES),
    NO_RESOURCES,
  );
  return { free: minus(worker.capacity, used), kept: false, newTasks: 0, worker };
}

function isEmpty(seat: Seat): boolean {
  return seat.worker.running.length + seat.newTasks === 0;
}

// Of the workers with room, the one with the fewest spare accelerators, then with the most free processors.
// An empty worker takes a task whose estimate exceeds it in processors or memory.
function bestSeat(seats: readonly Seat[], demand: Resources): Seat | undefined {
  const roomy = seats.filter(
    (seat) =>
      fits(demand, seat.free) || (isEmpty(seat) && demand.accelerators <= seat.worker.capacity.accelerators),
  );
  return roomy.sort(
    (a, b) =>
      a.free.accelerators - b.free.accelerators ||
      b.free.processors / Math.max(1, b.worker.capacity.processors) -
        a.free.processors / Math.max(1, a.worker.capacity.processors) ||
      a.worker.id.localeCompare(b.worker.id),
  )[0];
}

// Chooses movable tasks on the worker where the fewest must give way. Room that
// an earlier round has begun to make counts, so that one urgent task doesn't evict again and again.
function makeRoom(seats: readonly Seat[], demand: Resources, chosen: readonly Task[]): Task[] {
  let best: Task[] | undefined;
  for (const seat of seats) {
    const movable = seat.worker.running.filter((task) => isMovable(task) && !chosen.includes(task));
    const evicted: Task[] = [];
    let free = seat.free;
    for (const task of movable.toReversed()) {
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

// Work whose worker has reported a checkpoint can continue elsewhere.
function isMovable(task: Task): boolean {
  return task.repeatable && !task.urgent && task.checkpoint !== undefined;
}

function keepRoomiest(seats: readonly Seat[], demand: Resources): void {
  const [roomiest] = seats
    .filter((seat) => !seat.kept && fits(demand, seat.worker.capacity))
    .sort((a, b) => b.free.processors - a.free.processors);
  if (roomiest !== undefined) {
    roomiest.kept = true;
  }
}
