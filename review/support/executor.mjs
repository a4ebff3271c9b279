/**
 * Stand-in of an executor, as a process of its own: one life of it, with its own clock, leases, fencing token and
 * ends. What a task does stands in its specification: {"ms": duration, "fails": true if it ends `failed`,
 * "lasts": true if it runs until it is stopped}. Arguments: id, port, capacity as JSON and longest lease in ms.
 */
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';

const [id, port, capacityText, maxHoldText] = process.argv.slice(2);
const capacity = JSON.parse(capacityText);
const maxHoldMs = Number(maxHoldText);
const MAX_LISTED = 500;
const STOP_MS = 50;
const born = Date.now();
const startedAt = performance.now();

let fencingToken = 0;
let deadline = 0;
let leaseTimer;
let endCount = 0;
let ends = [];
const endWaiters = new Set();
/** Running tasks by name. */
const runs = new Map();
/** Highest run that was stopped or ended, by task. */
const closedRuns = new Map();

const clockMs = () => Math.floor(performance.now() - startedAt);

function emit(event, data) {
  process.send?.({ at: Date.now(), born, event, id, ...data });
}

function endRun(task, how) {
  const run = runs.get(task);
  if (run === undefined) {
    return;
  }
  clearTimeout(run.timer);
  runs.delete(task);
  endCount += 1;
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run.number));
  ends.push([endCount, task, run.number, how, '']);
  emit('end', { how, number: endCount, run: run.number, task });
  for (const wake of [...endWaiters]) {
    wake();
  }
}

// A deadline never shortens, and is at most the longest lease away.
function extendLease(wanted) {
  if (wanted === undefined) {
    return;
  }
  const now = clockMs();
  deadline = Math.max(deadline, Math.min(wanted, now + maxHoldMs));
  clearTimeout(leaseTimer);
  leaseTimer = setTimeout(() => {
    for (const task of [...runs.keys()]) {
      endRun(task, 'lapsed');
    }
  }, deadline - now);
}

function isFenced(body) {
  const token = body.fencing_token ?? 0;
  fencingToken = Math.max(fencingToken, token);
  return token < fencingToken;
}

/** Processor time that each task of the cases uses at most, in thousandths of a core. */
const TASK_CPU = 1000;

const fits = () => (runs.size + 1) * TASK_CPU <= capacity.cpu;

function startRun(body) {
  const { run: number, specification, task } = body;
  if (isFenced(body)) {
    return [409, { reason: 'fence' }];
  }
  const running = runs.get(task);
  if (running?.number === number) {
    return [200, {}];
  }
  if (number <= (closedRuns.get(task) ?? 0) || (running !== undefined && running.number > number)) {
    extendLease(body.deadline_ms);
    return [409, { reason: 'old' }];
  }
  if (body.deadline_ms <= clockMs()) {
    return [409, { reason: 'late' }];
  }
  const work = JSON.parse(specification);
  if (!fits()) {
    extendLease(body.deadline_ms);
    return [409, { reason: 'room' }];
  }
  extendLease(body.deadline_ms);
  const run = { lasts: work.lasts === true, ms: work.ms, number, startedAt: clockMs() };
  runs.set(task, run);
  emit('start', {
    checkpoint: body.last_checkpoint ?? '',
    fencingToken: body.fencing_token,
    run: number,
    task,
  });
  if (work.lasts !== true) {
    run.timer = setTimeout(() => {
      endRun(task, work.fails === true ? 'failed' : 'done');
    }, work.ms);
  }
  return [200, {}];
}

function stopRun(body) {
  if (isFenced(body)) {
    return [409, { reason: 'fence' }];
  }
  const { run: number, task } = body;
  emit('stop-order', { run: number, task });
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, number));
  if (runs.get(task)?.number === number) {
    setTimeout(() => {
      if (runs.get(task)?.number === number) {
        endRun(task, 'stopped');
      }
    }, STOP_MS);
  }
  return [200, {}];
}

async function hold(body) {
  if (isFenced(body)) {
    return [409, { reason: 'fence' }];
  }
  const seen = body.last_seen ?? 0;
  const forgotten = ends.filter(([number]) => number <= seen);
  ends = ends.filter(([number]) => number > seen);
  if (forgotten.length > 0) {
    emit('ends-noted', { lastSeen: seen, numbers: forgotten.map(([number]) => number) });
  }
  if (body.deadline_ms !== undefined) {
    extendLease(body.deadline_ms);
  }
  const waitMs = Math.min(2000, body.wait_ms ?? 0);
  if (ends.length === 0 && waitMs > 0) {
    await waitForEnd(waitMs);
  }
  const now = clockMs();
  const running = [...runs].map(([task, run]) => {
    const percent = run.lasts ? 100 : Math.min(100, Math.floor((100 * (now - run.startedAt)) / run.ms));
    return [task, run.number, '', percent, 1000];
  });
  return [200, { finished: ends.slice(0, MAX_LISTED), running }];
}

function waitForEnd(waitMs) {
  return new Promise((resolve) => {
    const wake = () => {
      endWaiters.delete(wake);
      resolve();
    };
    endWaiters.add(wake);
    setTimeout(wake, waitMs);
  });
}

async function dispatch(path, body) {
  switch (path) {
    case '/run-start':
      return startRun(body);
    case '/run-stop':
      return stopRun(body);
    case '/hold':
      return hold(body);
    case '/pace':
      return isFenced(body) ? [409, { reason: 'fence' }] : [200, {}];
    default:
      return [404, {}];
  }
}

const server = createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
  void (async () => {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const expected = req.headers['x-sequoiaquay-expected-instance'];
    const isOther = expected !== undefined && expected !== id;
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}');
    if (req.url !== '/hold') {
      emit('order', { path: req.url, run: body.run, task: body.task });
    }
    const [status, answer] = isOther ? [421, {}] : await dispatch(req.url, body);
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ ...answer, born, clock_ms: clockMs() }));
  })().catch(() => res.destroy());
});
server.listen(Number(port), '127.0.0.1', () => {
  emit('ready', { port: server.address().port });
});
process.on('disconnect', () => process.exit(0));
