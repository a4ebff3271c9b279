import type { Metrics } from '@sequoiaquay/runtime';
import { single } from '@sequoiaquay/runtime';
import type { WorkReplica } from '../work-replica';
import type { TaskRuntime } from './task-runtime';

/** Publishes the metrics of tasks and their leases. */
export function publishTasks(metrics: Metrics, work: WorkReplica, tasks: TaskRuntime): void {
  metrics.readGauge(
    { help: 'Tasks that have not ended, by state.', labels: ['state'], name: 'sequoiaquay_tasks_live' },
    () =>
      ['pending', 'running'].map((state) => ({
        labels: { state },
        value: work.tasks.liveTasks().filter((task) => task.state === state).length,
      })),
  );
  metrics.readGauge(
    { help: 'Tasks remembered, ended ones included.', labels: [], name: 'sequoiaquay_tasks_known' },
    () => single(work.tasks.size),
  );
  metrics.readCounter(
    { help: 'Leases that this entry proposed.', labels: [], name: 'sequoiaquay_task_leases_total' },
    () => single(tasks.driver.counters.leases),
  );
  metrics.readCounter(
    {
      help: 'Attempts that this entry took over from another.',
      labels: [],
      name: 'sequoiaquay_task_takeovers_total',
    },
    () => single(tasks.driver.counters.takeovers),
  );
}
