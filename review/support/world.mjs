/**
 * A small deployment on loopback addresses: nodes of the system as separate processes, started as the deploy file
 * says, with stand-ins of the store, the VM service and the executors. Everything that is seen goes to record.txt.
 */
import { fork, spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Link } from './link.mjs';
import { Store } from './store.mjs';

const SUPPORT = dirname(fileURLToPath(import.meta.url));
const ROOT = join(SUPPORT, '..', '..');

/** Interval at which executors write their entries, in ms; an entry is removed after three silent ones. */
const ENTRY_INTERVAL_MS = 1500;

const MIN_PORT = 12_000;
const MAX_PORT = 30_000;

/** Bounds as in `sites/taquari-oficina.toml`. */
export const BOUNDS = {
  grace_period_s: 6,
  lease_duration_ms: 3000,
  max_hold_ms: 6000,
  status_s: 120,
};

export const HOST = 'pule25.example';

/** Whether the disruption is applied. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Error for a case that could not be run as planned. */
export class NotRunError extends Error {}

/** Runs a case, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export async function runCase(folder, play) {
  const world = new World(folder);
  let status = 2;
  try {
    const broken = await play(world);
    status = broken.length > 0 ? 1 : 0;
    world.record('verdict', { broken, trouble: TROUBLE });
  } catch (error) {
    world.record('not-run', { error: String(error?.stack ?? error) });
  }
  await world.stop();
  process.exit(status);
}

class World {
  executors = new Map();
  nodes = [];
  store = new Store();
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #recordFile;
  #startedAt = Date.now();
  #timers = [];
  /** Events of the executors, in the order in which they arrived. */
  events = [];

  constructor(folder) {
    this.#recordFile = openSync(join(folder, 'record.txt'), 'w');
  }

  /** Writes a line to the record. */
  record(what, data = {}, at = Date.now()) {
    const seconds = ((at - this.#startedAt) / 1000).toFixed(3);
    writeSync(this.#recordFile, `${seconds} ${what} ${JSON.stringify(data)}\n`);
  }

  /** Writes the operators' configuration; the store's answer acknowledges it. */
  configure(version, routes, services) {
    const limits = {
      header_timeout_ms: 5000,
      idle_timeout_ms: 60_000,
      max_body_bytes: 262_144,
      max_header_bytes: 16_384,
    };
    this.store.put('keyed.op', 'config', JSON.stringify({ limits, routes, services, version }));
    this.record('config', { routes: routes.map((route) => route.name), version });
  }

  /** Starts an executor and registers it, again under its id and address if it had run before. */
  async startExecutor(id, { cpu = 16_000, hasLink = false, kind = 'a', pool, rack = 'r1', zone = 'z1' }) {
    const known = this.executors.get(id);
    const capacity = { cpu, gpus: 0, mem_mb: 65_536 };
    const [port] = known === undefined ? await findFreePorts(1) : [known.port];
    const args = [id, String(port), JSON.stringify(capacity), String(BOUNDS.max_hold_ms)];
    const child = fork(join(SUPPORT, 'executor.mjs'), args, {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const labels = [kind, rack];
    const executor = { capacity, child, id, isUp: true, labels, pool, port, sequence: 0, zone };
    this.executors.set(id, executor);
    const ready = new Promise((resolve, reject) => {
      child.on('message', (message) => {
        const { at, event, ...data } = message;
        this.events.push(message);
        if (event !== 'order' || data.path !== '/hold') {
          this.record(`executor-${event}`, data, at);
        }
        if (event === 'ready') {
          executor.port = message.port;
          executor.born = message.born;
          resolve();
        }
      });
      child.once('exit', () => reject(new NotRunError(`executor ${id} ended`)));
    });
    await ready;
    executor.address = `127.0.0.1:${executor.port}`;
    if (hasLink) {
      const [linkPort] = await findFreePorts(1);
      executor.link = new Link(linkPort, executor.port);
      await executor.link.open();
      executor.address = `127.0.0.1:${linkPort}`;
    }
    const write = () => {
      if (!executor.isUp || this.executors.get(id) !== executor) {
        return;
      }
      executor.sequence += 1;
      const entry = {
        address: executor.address,
        born: executor.born,
        capacity,
        cold_remaining_ms: 0,
        labels,
        sequence: executor.sequence,
        service: pool,
        slots: 8,
        state: 'ready',
        version: '1',
        zone,
      };
      this.store.put('keyed.servers', `servers/${id}`, JSON.stringify(entry));
    };
    write();
    this.#timers.push(setInterval(write, ENTRY_INTERVAL_MS));
    return executor;
  }

  /** Cuts an executor off from all nodes, with resets, for a time in ms; it runs on and reaches the store. */
  async cutOff(id, forMs) {
    const { link } = this.executors.get(id);
    link.cut();
    this.record('disruption', { executor: id, what: 'cut off' });
    await delay(forMs);
    await link.open();
    this.record('disruption-ends', { executor: id });
  }

  /** Ends the process of an executor. Its entry is removed after three intervals unless it is back by then. */
  killExecutor(id) {
    const executor = this.executors.get(id);
    executor.isUp = false;
    executor.child.removeAllListeners('exit');
    executor.child.kill('SIGKILL');
    this.record('disruption', { executor: id, what: 'crashed' });
    setTimeout(() => {
      if (this.executors.get(id) === executor) {
        this.store.put('keyed.servers', `servers/${id}`, undefined);
        this.record('executor-entry-removed', { id });
      }
    }, 3 * ENTRY_INTERVAL_MS).unref();
  }

  /** Starts nodes and waits until all are ready and one of them leads. */
  async startNodes(count) {
    this.vmAddress = await this.#startVmService();
    for (let index = 0; index < count; index += 1) {
      const [caller, readiness, metrics] = await findFreePorts(3);
      const store = await this.store.listen();
      const settingsFile = join(this.#directory, `node-${index}.json`);
      const settings = {
        availabilityZone: `z${(index % 3) + 1}`,
        bounds: {
          gracePeriodS: BOUNDS.grace_period_s,
          leaseDurationMs: BOUNDS.lease_duration_ms,
          maxLeaseMs: BOUNDS.max_hold_ms,
          stateKeptS: BOUNDS.status_s,
        },
        callerAddress: `127.0.0.1:${caller}`,
        cpuCores: 1,
        cpuShare: 0.675,
        linkMbps: 1000,
        memoryMb: 350,
        metricsAddress: `127.0.0.1:${metrics}`,
        name: `frontend-z${(index % 3) + 1}-${index + 1}`,
        readinessAddress: `127.0.0.1:${readiness}`,
        storeAddress: store.address,
        vmServiceAddress: this.vmAddress,
      };
      writeFileSync(settingsFile, JSON.stringify(settings));
      this.nodes.push({ caller, index, name: settings.name, readiness, settingsFile, store });
      this.startNode(index);
    }
    await this.until('ready nodes', 20_000, async () => {
      const answers = await Promise.all(this.nodes.map(({ index }) => this.isReady(index)));
      return answers.every(Boolean);
    });
    await this.until('a leader', 20_000, () => this.leader() !== undefined);
    this.record('nodes-ready', { leader: this.leader()?.name });
  }

  /** Starts the process of a node, with the command of the deploy file. */
  startNode(index) {
    const node = this.nodes[index];
    const log = openSync(join(this.#directory, `node-${index}.log`), 'a');
    const [program, ...args] = deployCommand();
    node.child = spawn(program, args, {
      cwd: ROOT,
      env: { HOME: process.env.HOME, PATH: process.env.PATH, SEQUOIAQUAY_BOOT: node.settingsFile },
      stdio: ['ignore', log, log],
    });
    node.child.once('exit', (code, signal) => {
      this.record('node-exit', { code, node: node.name, signal });
    });
    closeSync(log);
    this.record('node-start', { node: node.name, pid: node.child.pid });
  }

  /** Sends a signal to the process of a node. */
  signalNode(index, signal) {
    this.record('node-signal', { node: this.nodes[index].name, signal });
    this.nodes[index].child.kill(signal);
  }

  /** Returns whether the process of a node runs. */
  isRunning(index) {
    const { child } = this.nodes[index];
    return child.exitCode === null && child.signalCode === null;
  }

  /** Returns the node whose heartbeat as leader is the newest; undefined if there is none or it has stepped down. */
  leader() {
    const text = this.store.get('keyed.jobs', 'leader');
    const heartbeat = text === undefined ? undefined : JSON.parse(text);
    return heartbeat === undefined || heartbeat.released
      ? undefined
      : this.nodes.find((node) => node.name === heartbeat.node);
  }

  async isReady(index) {
    const { status } = await call(this.nodes[index].readiness, 'GET', '/readiness', 1000);
    return status === 200;
  }

  /** Sends a request to a node as a client, and records it with its answer. */
  async call(index, method, path, { body, deadlineMs = 3000, quiet = false } = {}) {
    const sentAt = Date.now();
    const answer = await call(this.nodes[index].caller, method, path, deadlineMs, body);
    if (!quiet) {
      const ms = Date.now() - sentAt;
      this.record('client', { answer, method, ms, node: this.nodes[index].name, path, sent: body }, sentAt);
    }
    return answer;
  }

  /** Waits until a condition holds. */
  async until(what, timeoutMs, condition) {
    const deadline = Date.now() + timeoutMs;
    while (Date.now() < deadline) {
      if (await condition()) {
        return;
      }
      await delay(10);
    }
    throw new NotRunError(`${what}: not within ${timeoutMs} ms`);
  }

  /** Returns the lines that a node has logged. */
  log(index) {
    return readFileSync(join(this.#directory, `node-${index}.log`), 'utf8');
  }

  async stop() {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
    for (const { child } of this.nodes) {
      child?.kill('SIGKILL');
    }
    for (const { child, link } of this.executors.values()) {
      link?.close();
      child.removeAllListeners('exit');
      child.kill('SIGKILL');
    }
    this.#vmServer?.closeAllConnections();
    this.#vmServer?.close();
    this.store.stop();
    await delay(100);
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#directory, { force: true, recursive: true });
    } else {
      process.stderr.write(`${this.#directory}\n`);
    }
    closeSync(this.#recordFile);
  }

  #vmServer;

  // The VM service lists one VM for each executor; no VM is moved or maintained in these cases.
  async #startVmService() {
    this.#vmServer = createServer((req, res) => {
      const machines = [...this.executors.values()].map(({ capacity, id, isUp, labels, pool, zone }) => ({
        capacity,
        id,
        labels,
        machine: `m-${id}`,
        pool,
        state: isUp ? 'up' : 'down',
        zone,
      }));
      const isList = req.method === 'GET' && req.url.startsWith('/machines');
      req.resume();
      res.writeHead(isList ? 200 : 409, { 'content-type': 'application/json' });
      res.end(JSON.stringify(isList ? { machines } : { reason: 'busy' }));
    });
    this.#vmServer.listen(0, '127.0.0.1');
    await once(this.#vmServer, 'listening');
    return `127.0.0.1:${this.#vmServer.address().port}`;
  }
}

/** Returns the command of the deploy file's role, split at spaces. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const command = /^run = "(?<command>[^"]+)"$/mu.exec(text)?.groups?.command;
  if (command === undefined) {
    throw new NotRunError('the deploy file has no command');
  }
  return command.split(' ');
}

// Below the range from which the kernel takes the ports of outgoing connections, which may not be free any more when
// a process that has ended starts again.
async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));
    if (!ports.includes(port) && (await isFree(port))) {
      ports.push(port);
    }
  }
  return ports;
}

async function isFree(port) {
  const server = createTcpServer();
  const isListening = await new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  if (isListening) {
    server.close();
    await once(server, 'close');
  }
  return isListening;
}

/** Sends a request; status 0 stands for a connection that failed or no answer in time. */
function call(port, method, path, deadlineMs, body) {
  const text = body === undefined ? undefined : JSON.stringify(body);
  const headers = {
    host: HOST,
    'x-sequoiaquay-request-deadline': String(deadlineMs),
    ...(text === undefined ? {} : { 'content-type': 'application/json' }),
  };
  return new Promise((resolve) => {
    const agent = new Agent();
    const req = request({ agent, headers, host: '127.0.0.1', method, path, port }, (res) => {
      let answer = '';
      res.on('data', (chunk) => (answer += chunk.toString()));
      res.on('end', () => {
        finish({ body: answer, status: res.statusCode ?? 0 });
      });
      res.on('error', (error) => {
        finish({ error: String(error), status: 0 });
      });
    });
    const timer = setTimeout(() => {
      req.destroy(new Error('no answer in time'));
    }, deadlineMs);
    const finish = (answer) => {
      agent.destroy();
      timer.unref();
      resolve(answer);
    };
    req.on('error', (error) => {
      finish({ error: error.message, status: 0 });
    });
    req.end(text);
  });
}
