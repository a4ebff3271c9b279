import type { Metrics } from '@sequoiaquay/runtime';
import { singleSample } from '@sequoiaquay/runtime';
import type { WorkReplica } from '../work-replica';
import type { TaskRuntime } from './task-runtime';

/** Publishes the metrics of tasks and their leases. */
export function publishTasks(metrics: Metrics, work: WorkReplica, tasks: TaskRuntime): void {
  metrics.registerGauge(
    { help: 'Tasks that have not ended, by state.', labels: ['state'], name: 'sequoiaquay_tasks_live' },
    () =>
      ['pending', 'running'].map((state) => ({
        labels: { state },
        value: work.tasks.liveTasks().filter((task) => task.state === state).length,
      })),
  );
  metrics.registerGauge(
    { help: 'Tasks remembered, ended ones included.', labels: [], name: 'sequoiaquay_tasks_known' },
    () => singleSample(work.tasks.size),
  );
  metrics.registerCounter(
    { help: 'Leases that this entry proposed.', labels: [], name: 'sequoiaquay_task_leases_total' },
    () => singleSample(tasks.driver.counters.leases),
  );
  metrics.registerCounter(
    {
      help: 'Attempts that this entry took over from another.',
      labels: [],
      name: 'sequoiaquay_task_takeovers_total',
    },
    () => singleSample(tasks.driver.counters.takeovers),
  );
}
