/**
 * Two of fourteen executors are cut off from the nodes for some seconds; they run on. A sound job comes, and its task is
 * ordered to start on both, one after the other. The job is given up, although no executor has crashed and none of its
 * runs has failed, or even begun.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HOST, NotRunError, runCase, TROUBLE } from '../support/world.mjs';

const EXECUTORS = 14;
const CUT_OFF = 2;
const CUT_MS = 5500;
const JOB = '5c0e7a21d94b36f8';
const PATH = `/puxa400/${JOB}`;
const ROUTES = [
  { host: HOST, max_attempts: 4, name: 'checks', path_prefix: '/puxa400/', service: 'furos', stretch: 2 },
];
const SERVICES = [{ enforces_capacity: true, name: 'furos' }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.configure(10, ROUTES, SERVICES);
  // The smallest executors with room get tasks first.
  for (let number = 1; number <= EXECUTORS; number += 1) {
    await world.startExecutor(`i-${number}`, {
      cpu: number <= CUT_OFF ? 14_000 + 500 * number : 16_000,
      hasLink: true,
      pool: 'furos',
      rack: `r${number % 4}`,
      zone: `z${(number % 3) + 1}`,
    });
  }
  await world.startNodes(3);
  await delay(3000);
  const caller = (world.leader().index + 1) % 3;
  const cuts = [];
  for (let number = 1; TROUBLE && number <= CUT_OFF; number += 1) {
    cuts.push(world.cutOff(`i-${number}`, CUT_MS));
  }
  const body = {
    specification: JSON.stringify({ ms: 2000 }),
    steps: [{ count: 1, cpu: 1000, estimated_ms: 2000, mem_mb: 256 }],
  };
  const accepted = await world.call(caller, 'POST', PATH, { body });
  if (accepted.status !== 200) {
    throw new NotRunError('the job was not accepted');
  }
  await Promise.all(cuts);
  let state = '';
  await world.until('the end of the job', 30_000, async () => {
    await delay(500);
    const answer = await world.call(caller, 'GET', PATH);
    ({ state } = JSON.parse(answer.body));
    return state === 'failed' || state === 'completed';
  });
  const starts = world.events.filter(({ event }) => event === 'start').length;
  const failedEnds = world.events.filter(({ event, how }) => event === 'end' && how === 'failed').length;
  return state === 'failed' && failedEnds === 0
    ? [`LOST: the job is shown as failed after ${starts} starts and ${failedEnds} ends failed`]
    : [];
});
process.exit(2);
