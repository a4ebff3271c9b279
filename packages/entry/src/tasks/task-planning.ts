import type {
  FleetState,
  Resources,
  SchedulableWorker,
  SchedulerInput,
  TaskTable,
  TeamShare,
  Vm,
} from '@sequoiaquay/core';
import { classifyWorkers, isServing, minServing } from '@sequoiaquay/core';
import type { LeavingVms } from '../leaving-vms';
import type { TaskSettings } from './task-settings';

/** Memory assumed per slot of a worker whose resources the platform doesn't list, in MB. */
const MEMORY_MB_PER_SLOT = 4096;

/** Builds the scheduler's input from the fleet state and the tasks; `now` is in ms since the Unix epoch. */
export function buildSchedulerInput(
  state: FleetState,
  tasks: TaskTable,
  leaving: LeavingVms,
  settings: TaskSettings,
  now: number,
): SchedulerInput {
  return {
    expectedDemand: (task) => tasks.estimates.expectedDemand(task),
    now,
    pending: tasks.liveTasks().filter((task) => task.state === 'pending'),
    shareOf: (team) => getTeamShare(state, team),
    workers: listSchedulableWorkers(state, tasks, leaving, settings, now),
  };
}

/** Returns the processors, memory and accelerators of a worker. */
export function getCapacity(vm: Vm): Resources {
  return vm.resources ?? { accelerators: 0, memoryMb: vm.slots * MEMORY_MB_PER_SLOT, processors: vm.slots };
}

function listSchedulableWorkers(
  state: FleetState,
  tasks: TaskTable,
  leaving: LeavingVms,
  settings: TaskSettings,
  now: number,
): SchedulableWorker[] {
  const byPool = new Map<string, Vm[]>();
  for (const vm of state.vms.values()) {
    if (vm.role === 'worker' && isServing(vm) && !leaving.has(vm.id)) {
      byPool.set(vm.pool, [...(byPool.get(vm.pool) ?? []), vm]);
    }
  }
  return [...byPool].flatMap(([pool, vms]) => {
    const streaks = vms.map((vm) => ({ ...tasks.health.streakOf(vm.id), worker: vm.id }));
    const uses = classifyWorkers(streaks, minServing(state, pool), now, settings);
    return vms.map((vm) => ({
      capacity: getCapacity(vm),
      id: vm.id,
      pool,
      running: tasks.tasksOnWorker(vm.id),
      use: uses.get(vm.id) ?? 'normal',
    }));
  });
}

function getTeamShare(state: FleetState, team: string): TeamShare {
  const branch = state.branches.get(team)?.value;
  return {
    maxRunning: branch?.quota?.inFlight ?? Number.MAX_SAFE_INTEGER,
    weight: branch?.weight ?? 1,
  };
}
