/**
 * Two of fourteen executors crash, one after the other, each just before it is ordered to start the task of a sound
 * job: they fall silent, refuse connections while their machine restarts, and are back some seconds later. The job is
 * given up although none of its runs has failed, or even begun.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HOST, NotRunError, runCase, TROUBLE } from '../support/world.mjs';

const EXECUTORS = 14;

/** An executor is silent, then refuses connections, and is down for 6 s in all. */
const SILENT_MS = 2500;
const RESTART_MS = 3500;
const SECOND_CRASH_AFTER_MS = 3500;
const JOB = '5c0e7a21d94b36f8';
const PATH = `/puxa400/${JOB}`;
const ROUTES = [
  { host: HOST, max_attempts: 4, name: 'checks', path_prefix: '/puxa400/', service: 'furos', stretch: 2 },
];
const SERVICES = [{ enforces_capacity: true, name: 'furos' }];

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  world.configure(10, ROUTES, SERVICES);
  // The smallest executors with room get tasks first.
  const settingsOf = (number) => ({
    cpu: number <= 2 ? 14_000 + 500 * number : 16_000,
    pool: 'furos',
    rack: `r${number % 4}`,
    zone: `z${(number % 3) + 1}`,
  });
  for (let number = 1; number <= EXECUTORS; number += 1) {
    await world.startExecutor(`i-${number}`, settingsOf(number));
  }
  await world.startNodes(3);
  await delay(3000);
  const caller = (world.leader().index + 1) % 3;
  const body = {
    specification: JSON.stringify({ ms: 2000 }),
    steps: [{ count: 1, cpu: 1000, estimated_ms: 2000, mem_mb: 256 }],
  };
  // An executor falls silent; its machine restarts, refuses connections, and is back at last.
  const crash = async (number) => {
    world.freezeExecutor(`i-${number}`);
    await delay(SILENT_MS);
    world.killExecutor(`i-${number}`);
    await delay(RESTART_MS);
    await world.startExecutor(`i-${number}`, settingsOf(number));
  };
  const crashes = [];
  if (TROUBLE) {
    crashes.push(crash(1));
    setTimeout(() => {
      crashes.push(crash(2));
    }, SECOND_CRASH_AFTER_MS);
  }
  const accepted = await world.call(caller, 'POST', PATH, { body });
  if (accepted.status !== 200) {
    throw new NotRunError('the job was not accepted');
  }
  await delay(SECOND_CRASH_AFTER_MS + 100);
  await Promise.all(crashes);
  const broken = [];
  for (let n = 0; n < 30; n += 1) {
    const { body: text } = await world.call(caller, 'GET', PATH);
    const failed = world.events.filter(({ event, how }) => event === 'end' && how === 'failed').length;
    if (JSON.parse(text).state === 'failed' && failed === 0) {
      broken.push('LOST: the job is shown as failed, and no run has ended failed');
      break;
    }
    if (JSON.parse(text).state === 'completed') {
      break;
    }
    await delay(500);
  }
  return broken;
});
process.exit(2);
