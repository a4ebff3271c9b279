import type { LeaderSimulationOptions } from './leader-simulation';
import { LEADER_WORK, LeaderSimulation } from './leader-simulation';
import { formatTable } from './table';

const MS_PER_SECOND = 1000;

/** Measures the processor time of a leader's decisions under peaks of load and returns the printed tables. */
export function measureLeader(options: LeaderSimulationOptions): string {
  const result = new LeaderSimulation(options).run();
  const seconds = options.durationMs / MS_PER_SECOND;
  const totalMs = LEADER_WORK.reduce((sum, work) => sum + result.cpuMs[work], 0);
  const times = [
    ...LEADER_WORK.map((work) => [work, result.cpuMs[work]] as const),
    ['all', totalMs] as const,
  ];
  const rows = times.map(([work, cpuMs]) => [
    work,
    (cpuMs / seconds).toFixed(2),
    (cpuMs / result.jobsDone).toFixed(3),
  ]);
  const counts = [
    `${result.jobsDone} jobs done, ${result.starts} starts, ${result.reports} reports, ${result.plans} plans`,
    `at most ${result.mostWaitingTasks} tasks waiting; first start ${result.firstStartMs.toFixed(0)} ms,`,
    `job ${result.jobMs.toFixed(0)} ms at the median; decisions ${result.decisions}`,
  ];
  return [counts.join('\n'), formatTable(['work', 'ms/s', 'ms/job'], rows)].join('\n\n');
}
