/**
 * The settings file of a node changes while the node shuts down: the SIGHUP ends the process at once, and with it the
 * requests that it has read.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HOST, NotRunError, runCase, TROUBLE } from '../support/world.mjs';

const EXECUTORS = 6;
const LOSS_SLACK_MS = 200;
const CONFIG_APPLY_MS = 2000;
const GRACE_PERIOD_MS = 6000;

/** Time between SIGTERM and SIGHUP, in ms. */
const SIGHUP_AFTER_MS = 800;
const REQUEST_INTERVAL_MS = 25;

/** Age of the oldest request without an answer at which the SIGHUP is sent, in ms. */
const PENDING_MS = 300;
const ROUTES = [
  { host: HOST, max_attempts: 4, name: 'checks', path_prefix: '/puxa400/', service: 'furos', stretch: 2 },
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
  await delay(4000);
  const stopped = (world.leader().index + 1) % 3;
  const asked = [];
  let isOver = false;
  // Clients ask for jobs that no node has accepted, as after a submission that got no answer.
  const ask = async (number) => {
    const id = `5c0e7a21d94b${(0x1000 + number).toString(16)}`;
    const request = { id, sentAt: Date.now() };
    asked.push(request);
    request.answer = await world.call(stopped, 'GET', `/puxa400/${id}`);
    request.endedAt = Date.now();
  };
  const askForAWhile = async () => {
    for (let number = 0; !isOver; number += 1) {
      void ask(number);
      await delay(REQUEST_INTERVAL_MS);
    }
  };
  const termAt = Date.now();
  world.signalNode(stopped, 'SIGTERM');
  const clients = askForAWhile();
  await delay(SIGHUP_AFTER_MS);
  const isOldPending = () =>
    asked.some(({ endedAt, sentAt }) => endedAt === undefined && Date.now() - sentAt > PENDING_MS);
  await world.until('a request that waits', 2000, isOldPending);
  if (!world.isRunning(stopped)) {
    throw new NotRunError('the node has ended');
  }
  const hupAt = Date.now();
  if (TROUBLE) {
    world.signalNode(stopped, 'SIGHUP');
  }
  await delay(300);
  isOver = true;
  await clients;
  await delay(GRACE_PERIOD_MS);
  return asked
    .filter(({ answer, endedAt, sentAt }) => {
      const isCut = answer?.status === 0 && !answer.error.includes('ECONNREFUSED');
      const isPlanned = sentAt <= hupAt + CONFIG_APPLY_MS && endedAt <= termAt + GRACE_PERIOD_MS + 1000;
      return isCut && isPlanned && endedAt - sentAt > LOSS_SLACK_MS;
    })
    .map(({ answer, endedAt, id, sentAt }) => {
      return `LOST: GET ${id} was cut after ${endedAt - sentAt} ms without an answer: ${answer.error}`;
    });
});
process.exit(2);
