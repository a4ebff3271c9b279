import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { EventRing, TimerService } from '@sequoiaquay/runtime';
import { WorkerClient } from '@sequoiaquay/platform';
import type { InFlight } from '../in-flight';
import type { LeavingVms } from '../leaving-vms';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { TaskSettings } from './task-settings';
import { TaskDriver } from './task-driver';
import { recordTaskEvents } from './task-events';
import { TaskInFlightTracker } from './task-in-flight-tracker';
import { TaskLog } from './task-log';
import { TaskService } from './task-service';
import { TaskSnapshotWriter } from './task-snapshot-writer';

/** Dependencies of the task components of an entry process. */
export interface TaskRuntimeDependencies {
  appender: BatchAppender;
  entry: string;
  inFlight: InFlight;
  leaving: LeavingVms;
  members: LiveMembers;
  replica: FleetReplica;
  ring: EventRing;
  secret: string;
  settings: TaskSettings;
  signal: AbortSignal;
  timers: TimerService;
  work: WorkReplica;
}

/** Task components of an entry process. */
export interface TaskRuntime {
  /** Closes the connections to workers. */
  close: () => Promise<void>;
  driver: TaskDriver;
  service: TaskService;
}

/** Creates and starts the components that accept tasks, drive them and keep them in the log. */
export function startTasks(deps: TaskRuntimeDependencies): TaskRuntime {
  const { entry, members, settings, signal, timers, work } = deps;
  const log = new TaskLog(deps.appender, entry, timers);
  const workers = new WorkerClient({ secret: deps.secret, timeoutMs: settings.workerTimeoutMs });
  const inFlightTracker = new TaskInFlightTracker(work.tasks, deps.inFlight);
  const service = new TaskService(log, work, deps.replica, settings, timers, signal);
  const driver = new TaskDriver({ ...deps, inFlightTracker, log, workers });
  new TaskSnapshotWriter({ entry, log, members, settings, timers, work }).start(signal);
  recordTaskEvents(work, deps.ring, entry, signal);
  driver.start();
  return { close: () => workers.close(), driver, service };
}
