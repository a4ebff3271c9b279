/**
 * A queue is dropped from the configuration while a job of it runs, and then the node that leads is restarted. The
 * next one does not know how often tasks of the queue may fail, and starts a hopeless task again and again.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HOST, NotRunError, runCase, TROUBLE } from '../support/world.mjs';

const MAX_ATTEMPTS = 2;
const EXECUTORS = 6;
const RUN_MS = 1500;
const WATCH_MS = 20_000;
const JOB = '5c0e7a21d94b36f8';
const ROUTES = [
  { host: HOST, max_attempts: 4, name: 'renders', path_prefix: '/puxa401/', service: 'furos', stretch: 2 },
  {
    host: HOST,
    max_attempts: MAX_ATTEMPTS,
    name: 'checks',
    path_prefix: '/puxa400/',
    service: 'furos',
    stretch: 2,
  },
];
const SERVICES = [{ enforces_capacity: true, name: 'furos' }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.configure(10, ROUTES, SERVICES);
  for (let number = 1; number <= EXECUTORS; number += 1) {
    await world.startExecutor(`i-${number}`, {
      pool: 'furos',
      rack: `r${number % 2}`,
      zone: `z${(number % 3) + 1}`,
    });
  }
  await world.startNodes(3);
  await delay(3000);
  const body = {
    specification: JSON.stringify({ fails: true, ms: RUN_MS }),
    steps: [{ count: 1, cpu: 1000, estimated_ms: RUN_MS, mem_mb: 256 }],
  };
  const leader = world.leader();
  const accepted = await world.call((leader.index + 1) % 3, 'POST', `/puxa400/${JOB}`, { body });
  if (accepted.status !== 200) {
    throw new NotRunError('the job was not accepted');
  }
  await world.until('first start', 5000, () => world.events.some(({ event }) => event === 'start'));
  if (TROUBLE) {
    world.configure(13, [ROUTES[0]], SERVICES);
    await delay(500);
    world.signalNode(leader.index, 'SIGTERM');
    await world.until('end of the node', 6000, () => !world.isRunning(leader.index));
    world.startNode(leader.index);
  }
  await delay(WATCH_MS);
  return findStartsBeyondLimit(world.events);
});
process.exit(2);

/** Returns the starts after the limit of runs had ended `failed`, and these ends were taken note of. */
function findStartsBeyondLimit(events) {
  const failed = new Set();
  let notedCount = 0;
  const broken = [];
  for (const { born, event, how, id, number, numbers, run } of events) {
    if (event === 'end' && how === 'failed') {
      failed.add(`${id} ${born} ${number}`);
    } else if (event === 'ends-noted') {
      notedCount += numbers.filter((end) => failed.has(`${id} ${born} ${end}`)).length;
    } else if (event === 'start' && notedCount >= MAX_ATTEMPTS) {
      broken.push(`BUDGET: run ${run} started on ${id} after ${notedCount} failed runs were taken note of`);
    }
  }
  return broken;
}
