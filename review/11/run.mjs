import { setTimeout as delay } from 'node:timers/promises';
import { Executor } from '../support-3/executor.mjs';
import { createConfig, findOverlaps, HAS_TROUBLE, runCase, waitUntil } from '../support-3/site.mjs';

/** Rate of the executors' steady clocks, which may be 2% slow. */
const CLOCK_RATE = 0.98;

/** Executors, of which one is cut off: a share of 0.125. */
const EXECUTORS = 8;

/** Time in which the service has nothing to do, in ms. */
const QUIET_MS = 85_000;

/** Time for which an executor is cut off, in ms: that of `node_cut` with `how = "servers"` in the site file. */
const CUT_MS = 5500;

/** Work of the task, in ms. */
const WORK_MS = 15_000;

const JOB_ID = '5c0e7a21d94b36f8';

await runCase(async (site) => {
  site.store.put('keyed.op', 'config', createConfig(['billing']));
  const executors = Array.from({ length: EXECUTORS }, (_, index) => {
    const info = {
      capacity: { cpu: 16_000, gpus: 0, mem_mb: 65_536 },
      labels: ['a', `r${Math.floor(index / 4) + 1}`],
      service: 'billing',
      zone: `bc-coast-${'abcd'[index % 4]}`,
    };
    return new Executor(site, `i-0000000${index + 1}`, info, { clockRate: CLOCK_RATE, onStart });
  });
  // Only the first run of the task is disturbed: its executor is cut off, and its leader is told to stop.
  function onStart(entry, executor) {
    if (!HAS_TROUBLE || site.history.length > 1) {
      return;
    }
    const { leader } = site;
    afterAnswer(() => {
      executor.cut(CUT_MS);
      leader.process.kill('SIGTERM');
      site.record(`SIGTERM to ${leader.name}, which leads`);
    });
  }
  await Promise.all(executors.map((executor) => executor.start()));
  await site.startNodes(3);
  await waitUntil(() => site.leader.terms.length > 0, 5000);
  await delay(QUIET_MS);
  const step = { count: 1, cpu: 1000, estimated_ms: WORK_MS, mem_mb: 256 };
  const other = site.nodes.find((node) => node !== site.leader);
  const body = { specification: JSON.stringify({ ms: WORK_MS }), steps: [step] };
  const answer = await site.call(other, 'POST', `/billing/${JOB_ID}`, body);
  if (answer.status !== 200) {
    throw new Error('the job was not accepted');
  }
  await delay(12_000);
  await site.call(other, 'GET', `/billing/${JOB_ID}`);
  return findOverlaps(site);
});

function afterAnswer(callback) {
  void delay(20).then(callback);
}
