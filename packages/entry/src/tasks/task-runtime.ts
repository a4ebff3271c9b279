import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { EventRing, TimerService } from '@sequoiaquay/runtime';
import { WorkerClient } from '@sequoiaquay/platform';
import type { InFlight } from '../in-flight';
import type { LeavingVms } from '../leaving-vms';
import type { LiveMembers } from '../live-members';
import type { WorkReplica } from '../work-replica';
import type { TaskSettings } from './task-settings';
import { TaskCarrier } from './task-carrier';
import { TaskDriver } from './task-driver';
import { recordTaskEvents } from './task-events';
import { TaskLog } from './task-log';
import { TaskPlaces } from './task-places';
import { TaskService } from './task-service';

/** What tasks need of an entry process. */
export interface TaskRuntimeParts {
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

/** Tasks of an entry process: acceptance, driving, and keeping them in the log. */
export interface TaskRuntime {
  /** Closes the connections to workers. */
  close: () => Promise<void>;
  driver: TaskDriver;
  service: TaskService;
}

/** Builds and starts the parts of an entry that handle tasks. */
export function startTasks(parts: TaskRuntimeParts): TaskRuntime {
  const { entry, members, settings, signal, timers, work } = parts;
  const log = new TaskLog(parts.appender, entry, timers);
  const workers = new WorkerClient({ secret: parts.secret, timeoutMs: settings.workerTimeoutMs });
  const places = new TaskPlaces(work.tasks, parts.inFlight);
  const service = new TaskService(log, work, parts.replica, settings, timers, signal);
  const driver = new TaskDriver({ ...parts, log, places, workers });
  new TaskCarrier({ entry, log, members, settings, timers, work }).start(signal);
  recordTaskEvents(work, parts.ring, entry, signal);
  driver.start();
  return { close: () => workers.close(), driver, service };
}
