// An executor crashes twice shortly after it has begun a task and comes back each time. No run of the task ends `failed`.
import { setTimeout } from 'node:timers';
import { config, delay, freePorts, runCase } from '../support-2/site.mjs';

const CRASHES = 2;
const CRASH_AFTER_MS = 100;
const DOWN_MS = 1000;
const EXECUTORS = 8;
const ID = '7c0e5a21d94b3601';
const PATH = `/render/${ID}`;

await runCase(import.meta.url, async (site, hasTrouble) => {
  await site.operate('config', config(1, [{ max_attempts: 4, name: 'render', service: 'farm' }], ['farm']));
  const nodes = [await site.startNode(0), await site.startNode(1), await site.startNode(2)];
  await site.waitReady();
  const ports = await freePorts(EXECUTORS);
  ports.forEach((port, index) => {
    const kind = index === 0 ? 'b' : 'a';
    const options = { kind, port, rack: `r${index % 2}`, service: 'farm', zone: `zone-${index % 3}` };
    start(site, `executor-${index}`, options, hasTrouble);
  });
  await delay(3000);

  const specification = JSON.stringify({ cpu: 1000, mem_mb: 256, ms: 1500 });
  const step = { count: 1, cpu: 1000, estimated_ms: 1500, mem_mb: 256, required_label: 'b' };
  const handedIn = await site.client(nodes[0], 'POST', PATH, { body: { specification, steps: [step] } });
  if (handedIn.status !== 200) {
    throw new Error(`the job was not accepted: status ${handedIn.status}`);
  }
  let state;
  for (let asked = 0; asked < 30 && state !== 'completed' && state !== 'failed'; asked += 1) {
    await delay(1000);
    const res = await site.client(nodes[asked % nodes.length], 'GET', PATH);
    state = res.status === 200 ? JSON.parse(res.body).state : state;
  }
  const failedEnds = site.events.filter((event) => event.event === 'end' && event.how === 'failed').length;
  const starts = site.events.filter((event) => event.event === 'start').length;
  site.record(`state ${state}, ${starts} runs begun, ${failedEnds} ends failed, max_attempts 4`);
  if (state !== 'completed' && state !== 'failed') {
    throw new Error(`the job is ${state} after 30 s`);
  }
  return state === 'failed' && failedEnds < 4
    ? `the job is shown as failed after ${starts} runs, ${failedEnds} of which ended failed; max_attempts is 4`
    : undefined;
});

function start(site, id, options, hasTrouble, crashes = 0) {
  const executor = site.startExecutor(id, options);
  executor.onEvent = ({ event }) => {
    if (hasTrouble && event === 'start' && crashes < CRASHES) {
      setTimeout(() => {
        site.record(`${id} is killed`);
        executor.child.kill('SIGKILL');
      }, CRASH_AFTER_MS);
      setTimeout(() => start(site, id, options, hasTrouble, crashes + 1), CRASH_AFTER_MS + DOWN_MS);
    }
  };
}
