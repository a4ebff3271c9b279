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
  /** Tasks of one team that may be looked at in vain before a round turns to other teams. */
  maxMisses: number;
  /** Wait after which a task that fits nowhere gets a worker kept for it, in ms. */
  reserveAfterMs: number;
}

/** Settings of the scheduler unless given. */
export const DEFAULT_SCHEDULER_SETTINGS: TaskSchedulerSettings = {
  avoidMs: 1000,
  lookAhead: 1000,
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
  share: TeamShare;
  tasks: Task[];
  use: TeamUse;
}

/** What a team uses, tasks placed in this round included. */
interface TeamUse {
  processors: number;
  running: number;
}

/** State of one round. */
interface Round {
  /** Kinds of tasks that fit nowhere in this round: room only shrinks while it is planned. */
  hopeless: Set<string>;
  input: SchedulerInput;
  plan: TaskPlan;
  seats: Map<string, Seat[]>;
  uses: Map<string, TeamUse>;
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
    const round = openRound(input);
    for (const urgent of [true, false]) {
      const queues = this.#queues(round, urgent);
      for (let queue = this.#next(queues); queue !== undefined; queue = this.#next(queues)) {
        const task = queue.tasks[queue.next];
        queue.next += 1;
        if (task !== undefined) {
          this.#consider(task, queue, round);
        }
      }
    }
    return round.plan;
  }

  #consider(task: Task, queue: TeamQueue, round: Round): void {
    const demand = round.input.expect(task);
    const kind = kindOf(task, demand);
    if (kind !== undefined && round.hopeless.has(kind)) {
      return;
    }
    if (this.#place(task, demand, round)) {
      queue.use.running += 1;
      queue.use.processors += demand.processors;
      return;
    }
    queue.misses += 1;
    if (kind !== undefined) {
      round.hopeless.add(kind);
    }
  }

  // The queue whose team has the least processors in use for its weight.
  #next(queues: readonly TeamQueue[]): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    for (const queue of queues) {
      if (queue.next >= queue.tasks.length || queue.misses >= this.settings.maxMisses) {
        continue;
      }
      if (queue.use.running >= queue.share.maxRunning) {
        continue;
      }
      if (best === undefined || usedForWeight(queue) < usedForWeight(best)) {
        best = queue;
      }
    }
    return best;
  }

  #place(task: Task, demand: Resources, round: Round): boolean {
    const { input, plan } = round;
    const candidates = this.#candidates(task, round.seats.get(task.pool) ?? [], input.now);
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

  #queues(round: Round, urgent: boolean): TeamQueue[] {
    const queues = new Map<string, TeamQueue>();
    for (const task of round.input.pending) {
      if (task.urgent !== urgent) {
        continue;
      }
      const queue = queues.get(task.scope) ?? openQueue(task.scope, round);
      queues.set(task.scope, queue);
      if (queue.tasks.length < this.settings.lookAhead) {
        queue.tasks.push(task);
      }
    }
    return [...queues.values()];
  }
}

function openRound(input: SchedulerInput): Round {
  const seats = new Map<string, Seat[]>();
  const uses = new Map<string, TeamUse>();
  for (const worker of input.workers) {
    for (const task of worker.running) {
      const use = useOf(uses, task.scope);
      use.running += 1;
      use.processors += task.lease?.demand.processors ?? 0;
    }
    if (worker.use !== 'aside') {
      const ofPool = seats.get(worker.pool) ?? [];
      ofPool.push(toSeat(worker));
      seats.set(worker.pool, ofPool);
    }
  }
  return { hopeless: new Set(), input, plan: { evictions: [], placements: [] }, seats, uses };
}

function useOf(uses: Map<string, TeamUse>, team: string): TeamUse {
  const use = uses.get(team) ?? { processors: 0, running: 0 };
  uses.set(team, use);
  return use;
}

function openQueue(team: string, round: Round): TeamQueue {
  return {
    misses: 0,
    next: 0,
    share: round.input.shareOf(team),
    tasks: [],
    use: useOf(round.uses, team),
  };
}

function usedForWeight(queue: TeamQueue): number {
  return queue.use.processors / queue.share.weight;
}

// Tasks of one kind fit the same workers. A task with tries avoids some workers and has no kind; an urgent
// task has none because each makes room for itself.
function kindOf(task: Task, demand: Resources): string | undefined {
  if (task.tries.length > 0 || task.urgent) {
    return undefined;
  }
  const { accelerators, memoryMb, processors } = demand;
  return [task.pool, task.repeatable, accelerators, memoryMb, processors].join('/');
}

// A worker that is probed gets one task that may safely run again elsewhere.
function isUsable(task: Task, seat: Seat): boolean {
  const { worker } = seat;
  if (seat.kept && !task.urgent) {
    return false;
  }
  return worker.use !== 'probe' || (isEmpty(seat) && task.repeatable);
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
  let best: Seat | undefined;
  for (const seat of seats) {
    const room =
      fits(demand, seat.free) || (isEmpty(seat) && demand.accelerators <= seat.worker.capacity.accelerators);
    if (room && (best === undefined || compareSeats(seat, best) < 0)) {
      best = seat;
    }
  }
  return best;
}

function compareSeats(a: Seat, b: Seat): number {
  return (
    a.free.accelerators - b.free.accelerators ||
    freeShare(b) - freeShare(a) ||
    (a.worker.id < b.worker.id ? -1 : 1)
  );
}

function freeShare(seat: Seat): number {
  return seat.free.processors / Math.max(1, seat.worker.capacity.processors);
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
