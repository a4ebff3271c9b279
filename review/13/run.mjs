import { setTimeout as delay } from 'node:timers/promises';
import { Executor } from '../support-3/executor.mjs';
import { createConfig, HAS_TROUBLE, runCase, waitUntil } from '../support-3/site.mjs';

/** Time for which answers of the store are lost, in ms, and after which the lost writes are carried out. */
const LOSS_MS = 1200;
const LATE_MS = 5500;

/** Bounds of the deployment, in ms. */
const CANCEL_MS = 3000;
const STOP_TIMEOUT_MS = 200;

/** Work of the task, in ms. */
const WORK_MS = 4000;

/** Jobs of other clients at the same time, and the work of each, in ms. */
const OTHER_JOBS = 6;
const OTHER_WORK_MS = 300;

const JOB_ID = '5c0e7a21d94b36f8';
const PATH = `/billing/${JOB_ID}`;

await runCase(async (site) => {
  site.store.put('keyed.op', 'config', createConfig(['billing']));
  const executors = Array.from({ length: 4 }, (_, index) => {
    const info = {
      capacity: { cpu: 16_000, gpus: 0, mem_mb: 65_536 },
      labels: ['a', `r${index + 1}`],
      service: 'billing',
      zone: `bc-coast-${'abcd'[index]}`,
    };
    return new Executor(site, `i-0000000${index + 1}`, info);
  });
  await Promise.all(executors.map((executor) => executor.start()));
  await site.startNodes(3);
  await waitUntil(() => site.leader.terms.length > 0, 5000);
  await delay(3000);
  const [first, second] = site.nodes.filter((node) => node !== site.leader);

  // Of the writes of that time only those with the job are lost; the others, of the leader, are answered.
  const lossEndsAt = site.now() + LOSS_MS;
  const counts = { all: 0, lost: 0 };
  site.store.loseAppend = (keys) => {
    if (!HAS_TROUBLE || site.now() > lossEndsAt) {
      return undefined;
    }
    counts.all += 1;
    if (!keys.includes(`j.${JOB_ID}`)) {
      return undefined;
    }
    counts.lost += 1;
    site.record(
      `the store does not answer a write of ${keys.join(', ')}, and carries it out ${LATE_MS} ms later`,
    );
    return LATE_MS;
  };
  const createBody = (ms) => ({
    specification: JSON.stringify({ ms }),
    steps: [{ count: 1, cpu: 1000, estimated_ms: ms, mem_mb: 256 }],
  });
  const others = Array.from({ length: OTHER_JOBS }, (_, index) =>
    site.call(second, 'POST', `/billing/${String(index).padStart(16, '0')}`, createBody(OTHER_WORK_MS)),
  );
  await site.call(first, 'POST', PATH, createBody(WORK_MS));
  await Promise.all(others);
  const cancelled = await site.call(second, 'DELETE', PATH);
  const acknowledgedAt = site.now();
  if (cancelled.status !== 200 && cancelled.status !== 410) {
    throw new Error('the cancelling was not acknowledged');
  }
  await delay(LATE_MS + WORK_MS + 2000);
  site.record(`writes of the time of the loss: ${counts.all}, of these without an answer: ${counts.lost}`);
  await site.call(second, 'GET', PATH);
  return site.history
    .filter(({ task }) => task.startsWith(JOB_ID))
    .filter(({ endedAt = site.now(), startedAt }) => {
      const isLateStart = startedAt > acknowledgedAt + CANCEL_MS;
      return isLateStart || endedAt > acknowledgedAt + CANCEL_MS + STOP_TIMEOUT_MS;
    })
    .map(({ executor, run, startedAt, task }) => {
      const afterMs = Math.round(startedAt - acknowledgedAt);
      return (
        `UNASKED: run ${run} of ${task} was started on ${executor} ${afterMs} ms after the cancelling of its job ` +
        `was acknowledged`
      );
    });
});
