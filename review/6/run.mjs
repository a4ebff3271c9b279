// One job of many small best-effort tasks, for all of which there is room, and a small job of another queue after it.
import { config, delay, freePorts, runCase } from '../support-2/site.mjs';

const EXECUTORS = 16;
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
const TASKS = 50_000;
const TASKS_WITHOUT_TROUBLE = 2000;
const LARGE = '/render/6a0e5a21d94b3601';
const SMALL = '/quick/6b0e5a21d94b3601';

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

  const count = hasTrouble ? TASKS : TASKS_WITHOUT_TROUBLE;
  const task = { cpu: 100, estimated_ms: 1000, fills: true, mem_mb: 8 };
  const specification = JSON.stringify({ mem_mb: 8, ms: 1000 });
  const large = await site.client(nodes[0], 'POST', LARGE, {
    body: { specification, steps: [{ ...task, count }] },
  });
  if (large.status !== 200) {
    throw new Error(`the large job was not accepted: status ${large.status}`);
  }
  await delay(2000);
  const small = { cpu: 1000, estimated_ms: 300, mem_mb: 512 };
  const body = { specification: JSON.stringify({ ...small, ms: 300 }), steps: [{ ...small, count: 1 }] };
  // Sent again after no answer, as clients do.
  let status = 0;
  for (let attempt = 0; status !== 200 && attempt < 15; attempt += 1) {
    ({ status } = await site.client(nodes[attempt % nodes.length], 'POST', SMALL, { body }));
    await delay(status === 200 ? 0 : 1000);
  }
  if (status !== 200) {
    throw new Error('the small job was not accepted');
  }
  await delay(FINISH_MS + IDLE_MS);
  const states = await Promise.all(
    [LARGE, SMALL].map((path) =>
      site.client(nodes[1], 'GET', path).then((res) => `${res.status} ${res.body}`),
    ),
  );
  const starts = (service) =>
    site.events.filter(({ event, executor }) => event === 'start' && executor.startsWith(service)).length;
  const begun = `${starts('farm')} tasks of the large job and ${starts('desk')} of the small one have begun`;
  site.record(`${begun}; their states: ${states.join(', ')}`);
  return starts('desk') === 0
    ? `${(FINISH_MS + IDLE_MS) / 1000} s after the acceptance of the small job, ${begun}, and all executors are idle`
    : undefined;
});
