// Four large jobs come at once, and a small one of another queue after them.
import { config, delay, freePorts, runCase } from '../support-2/site.mjs';

const EXECUTORS = 8;
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const LARGE_JOBS = 4;
const TASKS = 50_000;
const TASK = { cpu: 1000, estimated_ms: 1000, mem_mb: 512 };
const SMALL = '/quick/7b0e5a21d94b3601';

await runCase(import.meta.url, async (site, hasTrouble) => {
  const routes = [
    { name: 'render', service: 'farm' },
    { name: 'quick', service: 'desk' },
  ];
  await site.operate('config', config(1, routes, ['farm', 'desk']));
  const nodes = [await site.startNode(0), await site.startNode(1), await site.startNode(2)];
  await site.waitReady();
  const ports = await freePorts(EXECUTORS + 2);
  ports.forEach((port, index) => {
    const service = index < EXECUTORS ? 'farm' : 'desk';
    site.startExecutor(`${service}-${index}`, { port, service, zone: `zone-${index % 3}` });
  });
  await delay(3000);

  const accepted = [];
  const large = { specification: JSON.stringify({ ...TASK, ms: 1000 }), steps: [{ ...TASK, count: TASKS }] };
  for (let job = 0; job < (hasTrouble ? LARGE_JOBS : 1); job += 1) {
    const path = `/render/7a0e5a21d94b360${job}`;
    const res = await site.client(nodes[job % nodes.length], 'POST', path, { body: large });
    accepted.push(...(res.status === 200 ? [path] : []));
  }
  await delay(2000);
  const small = { specification: JSON.stringify({ ...TASK, ms: 300 }), steps: [{ ...TASK, count: 1 }] };
  // Sent again after no answer, as clients do.
  let status = 0;
  for (let node = 0; status !== 200 && node < 15; node += 1) {
    ({ status } = await site.client(nodes[node % nodes.length], 'POST', SMALL, { body: small }));
    await delay(status === 200 ? 0 : 1000);
  }
  if (status !== 200) {
    throw new Error('the small job was not accepted');
  }
  await delay(FINISH_MS + IDLE_MS);
  const states = await Promise.all(nodes.map((node) => site.client(node, 'GET', SMALL)));
  const ends = nodes.map((node) => node.ends);
  const starts = site.events.filter(
    (event) => event.event === 'start' && event.executor.startsWith('desk'),
  ).length;
  site.record(`${accepted.length} large jobs accepted, ends of the nodes' processes: ${ends.join(', ')}`);
  return starts === 0
    ? `${(FINISH_MS + IDLE_MS) / 1000} s after its acceptance the small job has not begun, its executors are idle, and its ` +
        `state is answered with ${states.map((res) => res.status || 'nothing').join(', ')}; ` +
        `the nodes' processes have ended by themselves ${ends.join(', ')} times`
    : undefined;
});
