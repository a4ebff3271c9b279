// A small deployment on loopback addresses: the store, the project's nodes and executors, each as a process.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const here = fileURLToPath(new URL('.', import.meta.url));

export const HOST = 'jobs.example';

export { delay };

/** Lines of the nodes that say of single runs what the executors' own lines say too. */
const LEFT_OUT = new Set([
  'order-refused',
  'run-ended',
  'run-lost',
  'run-overdue',
  'run-stop-ordered',
  'task-assigned',
]);

/** Returns a number of free ports. */
export async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () => {
      const server = createServer();
      return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)));
    }),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** TCP proxy whose traffic can be held back: bytes wait, in both directions, and go on when it is released. */
export class Proxy {
  #held = false;
  #sockets = new Set();

  constructor(targetPort) {
    this.targetPort = targetPort;
  }

  async listen() {
    this.server = createServer((from) => {
      const to = connect(this.targetPort, '127.0.0.1');
      for (const [a, b] of [
        [from, to],
        [to, from],
      ]) {
        this.#sockets.add(a);
        a.on('error', () => b.destroy());
        a.on('close', () => {
          this.#sockets.delete(a);
          b.destroy();
        });
        a.pipe(b);
        if (this.#held) {
          a.unpipe(b).pause();
        }
        a.other = b;
      }
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  hold() {
    this.#held = true;
    for (const socket of this.#sockets) {
      socket.unpipe(socket.other).pause();
    }
  }

  release() {
    this.#held = false;
    for (const socket of this.#sockets) {
      socket.pipe(socket.other);
    }
  }

  close() {
    this.server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }
}

/** The words of the deploy file that start a node. */
function nodeCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/mu.exec(text)[1].split(' ');
}

export class Site {
  executors = new Map();
  nodes = [];
  #children = new Set();
  #proxies = [];
  events = [];

  constructor(directory) {
    this.recordFile = join(directory, 'record.txt');
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    writeFileSync(this.recordFile, '');
    this.startedAt = Date.now();
  }

  /** Writes a line of what was sent, answered and run, with the time since the start in seconds. */
  record(text, at = Date.now()) {
    appendFileSync(this.recordFile, `${((at - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
  }

  spawn(command, args, env, onLine) {
    const child = spawn(command, args, {
      cwd: root,
      env: { ...process.env, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#children.add(child);
    child.ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        this.#children.delete(child);
        child.outcome = { code, signal };
        resolve(child.outcome);
      });
    });
    for (const stream of [child.stdout, child.stderr]) {
      let rest = '';
      stream.on('data', (chunk) => {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop();
        lines.forEach((line) => onLine(line));
      });
    }
    return child;
  }

  async startStore() {
    this.storePort = await new Promise((resolve) => {
      this.spawn(process.execPath, [join(here, 'store.mjs'), '0'], {}, (line) => {
        const found = /^listening (\d+)$/u.exec(line);
        if (found) {
          resolve(Number(found[1]));
        } else {
          this.record(`store: ${line}`);
        }
      });
    });
  }

  /** Writes a record of the operators, as the store's answer acknowledges it. */
  async operate(key, value) {
    const name = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([name.length]), name, Buffer.from(JSON.stringify(value))]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    const body = Buffer.concat([length, content]);
    const res = await call(this.storePort, 'POST', '/log-append?topic=keyed.op&part=0', {
      body,
      timeoutMs: 2000,
    });
    this.record(`operator writes op/${key}: status ${res.status}`);
  }

  /** Starts a node behind a proxy of its own to the store. */
  async startNode(index, extra = {}) {
    const [callerPort, readinessPort, metricsPort] = await freePorts(3);
    const proxy = new Proxy(this.storePort);
    this.#proxies.push(proxy);
    const storePort = await proxy.listen();
    const name = `node-${index}`;
    const settings = {
      name,
      availabilityZone: `zone-${index % 3}`,
      bounds: { gracePeriodS: 6, leaseDurationMs: 3000, maxLeaseMs: 10_000, stateKeptS: 120 },
      callerAddress: `127.0.0.1:${callerPort}`,
      cpuCores: 1,
      cpuShare: 0.675,
      linkMbps: 1000,
      memoryMb: 350,
      metricsAddress: `127.0.0.1:${metricsPort}`,
      readinessAddress: `127.0.0.1:${readinessPort}`,
      storeAddress: `127.0.0.1:${storePort}`,
      ...extra,
    };
    const file = join(this.directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const node = { callerPort, ends: 0, file, index, name, proxy, readinessPort };
    this.nodes[index] = node;
    this.#runNode(node);
    return node;
  }

  #runNode(node) {
    const [, ...args] = nodeCommand();
    node.child = this.spawn(process.execPath, args, { SEQUOIAQUAY_BOOT: node.file }, (line) =>
      this.#onNodeLine(node, line),
    );
    this.record(`${node.name} starts, process ${node.child.pid}`);
    const { child } = node;
    void child.ended.then(({ code, signal }) => {
      this.record(`${node.name} ended, exit status ${code}, signal ${signal}`);
      node.ends += 1;
      // The platform starts a process again that has ended.
      if (!this.isStopping) {
        setTimeout(() => !this.isStopping && this.#runNode(node), 500);
      }
    });
  }

  #onNodeLine(node, line) {
    let data;
    try {
      data = JSON.parse(line);
    } catch {
      this.record(`${node.name}: ${line.slice(0, 300)}`);
      return;
    }
    const { msg, time, ...rest } = data;
    for (const field of ['hostname', 'level', 'name', 'pid', 'v']) {
      delete rest[field];
    }
    this.events.push({ at: Date.parse(time), data: rest, msg, node: node.name });
    if (!LEFT_OUT.has(msg)) {
      this.record(`${node.name}: ${msg} ${JSON.stringify(rest).slice(0, 400)}`);
    }
  }

  startExecutor(id, options) {
    const settings = {
      capacity: { cpu: 16_000, gpus: 0, mem_mb: 65_536 },
      id,
      rack: 'r1',
      storePort: this.storePort,
      zone: 'zone-0',
      ...options,
    };
    const child = this.spawn(
      process.execPath,
      [join(here, 'executor.mjs'), JSON.stringify(settings)],
      {},
      (line) => {
        let data;
        try {
          data = JSON.parse(line);
        } catch {
          this.record(`executor ${id}: ${line}`);
          return;
        }
        this.events.push(data);
        this.record(`executor ${id}: ${JSON.stringify(data)}`, data.at);
        executor.onEvent?.(data);
      },
    );
    const executor = { child, id, settings };
    this.executors.set(id, executor);
    return executor;
  }

  async waitReady(timeoutMs = 30_000) {
    const until = Date.now() + timeoutMs;
    for (const node of this.nodes) {
      for (;;) {
        const res = await call(node.readinessPort, 'GET', '/readiness', { timeoutMs: 1000 });
        if (res.status === 200) {
          break;
        }
        if (Date.now() > until) {
          throw new Error(`${node.name} is not ready`);
        }
        await delay(50);
      }
    }
  }

  /** Sends a request of a client to a node and records it with its answer. */
  async client(node, method, path, { body, deadlineMs = 3000 } = {}) {
    const headers = {
      host: HOST,
      'content-type': 'application/json',
      'x-sequoiaquay-request-deadline': String(deadlineMs),
    };
    const text = body === undefined ? undefined : JSON.stringify(body);
    const sentAt = Date.now();
    this.record(`client sends ${method} ${path} to ${node.name}${text ? ` ${text.slice(0, 200)}` : ''}`);
    const res = await call(node.callerPort, method, path, { body: text, headers, timeoutMs: deadlineMs });
    this.record(
      `client gets ${res.status || 'no answer'} ${res.body.slice(0, 200)} for ${method} ${path} from ${node.name} after ${Date.now() - sentAt} ms`,
    );
    return res;
  }

  async stop() {
    this.isStopping = true;
    const children = [...this.#children];
    children.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(children.map((child) => child.ended));
    this.#proxies.forEach((proxy) => proxy.close());
    rmSync(this.directory, { force: true, recursive: true });
  }
}

/** Sends one HTTP request; status 0 stands for no answer in time. */
export function call(port, method, path, { body, headers = {}, timeoutMs }) {
  return new Promise((resolve) => {
    const settle = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    const fail = (error) => settle({ body: error.message, status: 0 });
    const options = {
      agent: new Agent({ keepAlive: false }),
      headers,
      host: '127.0.0.1',
      method,
      path,
      port,
    };
    const req = request(options, (res) => {
      let text = '';
      res.on('data', (chunk) => (text += chunk));
      res.on('end', () => settle({ body: text, status: res.statusCode }));
      res.on('error', fail);
    });
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), timeoutMs);
    req.on('error', fail);
    req.end(body);
  });
}

/** Returns a configuration as the operators write it. */
export function config(version, routes, services, limits = {}) {
  return {
    limits: {
      header_timeout_ms: 5000,
      idle_timeout_ms: 60_000,
      max_body_bytes: 262_144,
      max_header_bytes: 16_384,
      ...limits,
    },
    routes: routes.map((route) => ({
      host: HOST,
      max_attempts: 4,
      path_prefix: `/${route.name}/`,
      priority: 0,
      stretch: 2,
      target_duration_ms: 600,
      timeout_ms: 3000,
      ...route,
    })),
    services: services.map((name) => ({ enforces_capacity: true, name })),
    version,
  };
}

/**
 * Runs the check of a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. The check
 * returns what breaks the rule, or nothing.
 */
export async function runCase(directory, check) {
  const site = new Site(fileURLToPath(new URL('.', directory)));
  let status = 2;
  try {
    await site.startStore();
    const broken = await check(site, process.env.TROUBLE !== '0');
    status = broken === undefined ? 0 : 1;
    site.record(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
    process.stdout.write(`${broken === undefined ? 'held' : `broken: ${broken}`}\n`);
  } catch (error) {
    site.record(`the case could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  await site.stop();
  process.exit(status);
}
