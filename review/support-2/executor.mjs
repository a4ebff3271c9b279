// Stand-in of an executor, as the users' pages describe it: registers itself in the store and runs tasks.
// The specification of a job states the work of a task as JSON: {"ms": time that it takes}.
import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';

const MAX_HOLD_MS = 10_000;
const STOP_MS = 50;
const HEARTBEAT_MS = 1500;
const MAX_ENDS = 500;
const MAX_WAIT_MS = 2000;

const options = JSON.parse(process.argv[2]);
const { capacity, id, port, service, storePort, zone } = options;
const labels = [options.kind ?? 'a', options.rack];
const born = Date.now();
const startedAt = performance.now();
const clock = () => Math.floor(performance.now() - startedAt);

let fence = 0;
let deadline = 0;
let sequence = 0;
let endNumber = 0;
const running = new Map();
const closedRuns = new Map();
let ends = [];
const waiting = new Set();

function log(event, data = {}) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), event, executor: id, ...data })}\n`);
}

function register() {
  sequence += 1;
  const address = `127.0.0.1:${port}`;
  const value = {
    address,
    born,
    capacity,
    cold_remaining_ms: 0,
    labels,
    sequence,
    service,
    slots: 8,
    state: 'ready',
    version: '1',
    zone,
  };
  const key = Buffer.from(id);
  const content = Buffer.concat([Buffer.from([key.length]), key, Buffer.from(JSON.stringify(value))]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  const req = request({
    host: '127.0.0.1',
    method: 'POST',
    path: '/log-append?topic=keyed.servers&part=0',
    port: storePort,
  });
  req.on('error', () => undefined);
  req.on('response', (res) => res.resume());
  req.end(Buffer.concat([length, content]));
}

function end(task, how) {
  const run = running.get(task);
  if (run === undefined) {
    return;
  }
  clearTimeout(run.timer);
  running.delete(task);
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run.run));
  endNumber += 1;
  ends.push([endNumber, task, run.run, how, '']);
  log('end', { how, run: run.run, task });
  for (const wake of [...waiting]) {
    wake();
  }
}

function extend(until) {
  if (until !== undefined) {
    deadline = Math.max(deadline, Math.min(until, clock() + MAX_HOLD_MS));
  }
}

// A specification that states no work is done at once.
function parseWork(specification) {
  try {
    return { ...JSON.parse(specification) };
  } catch {
    return { ms: 0 };
  }
}

function freeRoom() {
  const free = { ...capacity };
  for (const { demand } of running.values()) {
    free.cpu -= demand.cpu;
    free.mem_mb -= demand.mem_mb;
  }
  return free;
}

function start({ deadline_ms: until, run, specification, task }) {
  if (running.get(task)?.run === run) {
    extend(until);
    return [200, {}];
  }
  if (run <= Math.max(closedRuns.get(task) ?? 0, running.get(task)?.run ?? 0)) {
    extend(until);
    return [409, { reason: 'old' }];
  }
  if (until <= clock()) {
    return [409, { reason: 'late' }];
  }
  const work = parseWork(specification);
  const demand = { cpu: work.cpu ?? 0, mem_mb: work.mem_mb ?? 0 };
  const free = freeRoom();
  extend(until);
  if (free.cpu < demand.cpu || free.mem_mb < demand.mem_mb) {
    return [409, { reason: 'room' }];
  }
  const timer = work.ms === undefined ? undefined : setTimeout(() => end(task, 'done'), work.ms);
  running.set(task, { demand, run, startedAt: clock(), timer, work });
  log('start', { run, task });
  return [200, {}];
}

function stop({ run, task }) {
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
  if (running.get(task)?.run === run) {
    setTimeout(() => end(task, 'stopped'), STOP_MS);
  }
  return [200, {}];
}

async function hold({ deadline_ms: until, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
  extend(until);
  ends = ends.filter(([number]) => number > lastSeen);
  if (waitMs > 0 && ends.length === 0) {
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
      waiting.add(wake);
    });
  }
  const rows = [...running].map(([task, { run, startedAt: at, work }]) => {
    const percent = work.ms === undefined ? 100 : Math.min(99, Math.floor((100 * (clock() - at)) / work.ms));
    return [task, run, '', percent, work.cpu ?? 0];
  });
  return [200, { born, finished: ends.slice(0, MAX_ENDS), running: rows }];
}

async function handle(path, body) {
  if ((body.fencing_token ?? 0) < fence) {
    return [409, { reason: 'fence' }];
  }
  fence = Math.max(fence, body.fencing_token ?? 0);
  switch (path) {
    case '/hold':
      return hold(body);
    case '/pace':
      return [200, {}];
    case '/run-start':
      return start(body);
    case '/run-stop':
      return stop(body);
    default:
      return [404, {}];
  }
}

const server = createServer({ keepAliveTimeout: 120_000 }, async (req, res) => {
  let text = '';
  for await (const chunk of req) {
    text += chunk;
  }
  const expected = req.headers['x-sequoiaquay-expected-instance'];
  const [status, body] =
    req.method === 'GET'
      ? [200, {}]
      : expected !== undefined && expected !== id
        ? [421, {}]
        : await handle(req.url, JSON.parse(text));
  const answer = Buffer.from(JSON.stringify({ clock_ms: clock(), ...body }));
  res.writeHead(status, { 'content-length': answer.length, 'content-type': 'application/json' }).end(answer);
});
server.listen(port, '127.0.0.1', () => {
  log('up', { born });
  register();
  setInterval(register, HEARTBEAT_MS);
  setInterval(() => {
    if (running.size > 0 && clock() > deadline) {
      for (const task of [...running.keys()]) {
        end(task, 'lapsed');
      }
    }
  }, 20);
});
