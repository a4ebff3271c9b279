import { setTimeout as delay } from 'node:timers/promises';
import { Executor } from '../support-3/executor.mjs';
import { createConfig, HAS_TROUBLE, runCase } from '../support-3/site.mjs';

/** Executors, of which one at a time is down: a share of 0.125. */
const EXECUTORS = 8;

/** Time after the start of a run at which its executor crashes, and for which it is down, in ms. */
const CRASH_AFTER_MS = 80;
const DOWN_MS = 4500;

const CRASHES = 2;

/** Work of the task, in ms. */
const WORK_MS = 3000;

const JOB_ID = '5c0e7a21d94b36f8';
const PATH = `/billing/${JOB_ID}`;

await runCase(async (site) => {
  site.store.put('keyed.op', 'config', createConfig(['billing']));
  let crashes = 0;
  const onStart = (entry, executor) => {
    if (HAS_TROUBLE && crashes < CRASHES) {
      crashes += 1;
      void delay(CRASH_AFTER_MS)
        .then(() => {
          executor.crash();
          return delay(DOWN_MS);
        })
        .then(async () => {
          const again = new Executor(site, executor.id, executor.info, { onStart, port: executor.port });
          await again.start();
          site.record(`${executor.id} is back under its id`);
        });
    }
  };
  const executors = Array.from({ length: EXECUTORS }, (_, index) => {
    const info = {
      capacity: { cpu: 16_000, gpus: 0, mem_mb: 65_536 },
      labels: ['a', `r${Math.floor(index / 4) + 1}`],
      service: 'billing',
      zone: `bc-coast-${'abcd'[index % 4]}`,
    };
    return new Executor(site, `i-0000000${index + 1}`, info, { onStart });
  });
  await Promise.all(executors.map((executor) => executor.start()));
  await site.startNodes(2);
  await delay(3000);
  const [node] = site.nodes;
  const step = { count: 1, cpu: 1000, estimated_ms: WORK_MS, mem_mb: 256 };
  const answer = await site.call(node, 'POST', PATH, {
    specification: JSON.stringify({ ms: WORK_MS }),
    steps: [step],
  });
  if (answer.status !== 200) {
    throw new Error('the job was not accepted');
  }
  let state = '';
  for (let second = 0; second < 40 && state !== 'completed' && state !== 'failed'; second += 1) {
    await delay(1000);
    const { body, status } = await site.call(node, 'GET', PATH);
    state = status === 200 ? JSON.parse(body).state : state;
  }
  const failures = site.history.filter(({ how }) => how === 'failed').length;
  return state === 'failed' && failures === 0
    ? [`LOST: the job is shown as failed; ${site.history.length} runs, ends 'failed' of any run: ${failures}`]
    : [];
});
