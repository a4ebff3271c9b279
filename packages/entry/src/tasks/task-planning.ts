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

/** Memory of a worker for each of its slots when the platform doesn't list its resources, in MB. */
const MEMORY_MB_PER_SLOT = 4096;

/** Builds what the scheduler decides from, out of the state of the fleet and of the tasks. */
export function schedulerInput(
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
    shareOf: (team) => shareOf(state, team),
    workers: schedulableWorkers(state, tasks, leaving, settings, now),
  };
}

/** Processors, memory and accelerators of a worker. */
export function capacityOf(vm: Vm): Resources {
  return vm.resources ?? { accelerators: 0, memoryMb: vm.slots * MEMORY_MB_PER_SLOT, processors: vm.slots };
}

function schedulableWorkers(
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
      capacity: capacityOf(vm),
      id: vm.id,
      pool,
      running: tasks.tasksOnWorker(vm.id),
      use: uses.get(vm.id) ?? 'normal',
    }));
  });
}

function shareOf(state: FleetState, team: string): TeamShare {
  const branch = state.branches.get(team)?.value;
  return {
    maxRunning: branch?.quota?.inFlight ?? Number.MAX_SAFE_INTEGER,
    weight: branch?.weight ?? 1,
  };
}
