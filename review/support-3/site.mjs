import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const DEPLOY_FILE = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
const HOST = 'pule25.example';
const READY_TIMEOUT_MS = 20_000;

/** Starts of a node with other ports each time. */
const MAX_ATTEMPTS = 5;

/** Time after which a script gives up, in ms: it may take 120 s. */
const MAX_RUN_MS = 115_000;

/** Time from which on two runs of a task count as at the same time, in ms: above the resolution of the stand-ins. */
const OVERLAP_MS = 50;

/** Ports that the nodes may listen on. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

/** Exit codes of a script. */
export const EXIT = { broken: 1, held: 0, notRun: 2 };

/** Whether the script causes its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Small deployment: nodes as separate processes, and the stand-ins of the platform in this process. */
export class Site {
  heartbeatMs = 1500;
  history = [];
  /** Called for each order to an executor; a time in ms that it returns is that after which it is carried out, unanswered. */
  holdOrder = () => undefined;
  maxHoldMs = 10_000;
  nodes = [];
  store = new Store();
  #isStopping = false;
  #directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-review-'));
  #startedAt = performance.now();

  constructor(recordFile) {
    this.out = createWriteStream(recordFile);
  }

  /** Time since the start of the script, in ms. */
  now() {
    return performance.now() - this.#startedAt;
  }

  record(text) {
    const line = `${(this.now() / 1000).toFixed(3).padStart(8)} s  ${text}`;
    this.out.write(`${line}\n`);
    console.log(line);
  }

  /** Starts nodes with the settings that the template gives for a machine of a small deployment. */
  async startNodes(count, { cloud } = {}) {
    await Promise.all(Array.from({ length: count }, (_, index) => this.#startNode(index, cloud)));
    this.record(`${count} nodes are ready`);
  }

  async #startNode(index, cloud) {
    const name = `frontend-${index + 1}`;
    const node = { file: join(this.#directory, `${name}.json`), name, terms: [] };
    this.nodes[index] = node;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const [callers, readiness, metrics] = await freePorts(3);
      const settings = {
        availabilityZone: `bc-coast-${'abcd'[index % 4]}`,
        bounds: {
          gracePeriodS: 6,
          leaseDurationMs: 3000,
          maxLeaseMs: this.maxHoldMs,
          remoteFactor: 2,
          stateKeptS: 120,
        },
        callerAddress: `127.0.0.1:${callers}`,
        cpuCores: 1,
        cpuShare: 0.675,
        fileDescriptors: 4100,
        linkMbps: 1000,
        memoryMb: 350,
        metricsAddress: `127.0.0.1:${metrics}`,
        name,
        readinessAddress: `127.0.0.1:${readiness}`,
        storeAddress: this.store.address,
        storeCallBytes: 2_097_152,
        storeRecordBytes: 262_144,
        ...(cloud === undefined ? {} : { vmServiceAddress: cloud }),
      };
      writeFileSync(node.file, JSON.stringify(settings));
      Object.assign(node, { callers, metrics, readiness });
      this.#spawn(node);
      if (await this.#becomesReady(node)) {
        return;
      }
    }
    throw new Error(`${name} does not start`);
  }

  #spawn(node) {
    const [, run] = /^run = "(.*)"$/m.exec(DEPLOY_FILE);
    const [program, ...args] = run.split(' ');
    const env = { HOME: process.env.HOME, PATH: process.env.PATH, SEQUOIAQUAY_BOOT: node.file };
    node.process = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'ignore'] });
    node.exited = new Promise((resolve) => node.process.once('exit', resolve));
    node.process.once('exit', (status, signal) => {
      if (!this.#isStopping) {
        this.record(`${node.name} has ended: ${signal ?? `status ${status}`}`);
      }
    });
    // The log only tells which node leads, to choose the one to disturb; it is not judged.
    let rest = '';
    node.process.stdout.on('data', (chunk) => {
      const lines = `${rest}${chunk}`.split('\n');
      rest = lines.pop();
      for (const line of lines.filter((text) => text.includes('"term begins"'))) {
        node.terms.push(JSON.parse(line).epoch);
      }
      if (process.env.NODE_LOGS !== undefined) {
        lines.forEach((line) => {
          console.log(`          ${node.name} ${line}`);
        });
      }
    });
  }

  /** Node that began the latest term. */
  get leader() {
    const newest = (node) => node.terms.at(-1) ?? -1;
    return this.nodes.reduce((best, node) => (newest(node) > newest(best) ? node : best));
  }

  // Returns false if the process ends, as when another program has taken a port since it was chosen.
  async #becomesReady(node) {
    const end = this.now() + READY_TIMEOUT_MS;
    while (this.now() < end) {
      if (node.process.exitCode !== null) {
        return false;
      }
      const answer = await send(node.readiness, 'GET', '/readiness');
      // The metrics come last: a node whose port for them was taken ends after it was ready for a moment.
      if (answer.status === 200 && (await send(node.metrics, 'GET', '/metrics')).status === 200) {
        return true;
      }
      await delay(50);
    }
    throw new Error(`${node.name} is not ready`);
  }

  /** Sends a request of a client; status 0 stands for no answer. */
  async call(node, method, path, body) {
    const answer = await send(node.callers, method, path, body);
    this.record(`${method} ${path} at ${node.name}: ${answer.status} ${answer.body}`);
    return answer;
  }

  async stop() {
    this.#isStopping = true;
    for (const node of this.nodes) {
      node.process.kill('SIGKILL');
    }
    await Promise.all(this.nodes.map((node) => node.exited));
    this.store.stop();
    rmSync(this.#directory, { force: true, recursive: true });
    await new Promise((resolve) => this.out.end(resolve));
  }
}

/** Runs a script: `play` returns the ways in which the rule was broken. RECORD names another file for the record. */
export async function runCase(play) {
  const site = new Site(process.env.RECORD ?? 'record.txt');
  const finish = async (code) => {
    await site.stop().catch(() => undefined);
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, () => void finish(EXIT.notRun));
  }
  process.on('uncaughtException', (error) => {
    site.record(`the script failed: ${error.stack}`);
    void finish(EXIT.notRun);
  });
  setTimeout(() => {
    site.record('the script takes too long');
    void finish(EXIT.notRun);
  }, MAX_RUN_MS).unref();
  try {
    await site.store.start();
    site.record(HAS_TROUBLE ? 'with the disruption' : 'without the disruption');
    const broken = await play(site);
    for (const text of broken) {
      site.record(`BROKEN ${text}`);
    }
    if (broken.length === 0) {
      site.record('held');
    }
    await finish(broken.length > 0 ? EXIT.broken : EXIT.held);
  } catch (error) {
    site.record(`the case could not run: ${error.stack}`);
    await finish(EXIT.notRun);
  }
}

/** Configuration with one queue for each service. */
export function createConfig(services, extra = {}) {
  return {
    limits: {
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
      max_body_bytes: 262_144,
      max_header_bytes: 16_384,
    },
    routes: services.map((service) => ({
      host: HOST,
      max_attempts: 4,
      name: `${service}-queue`,
      path_prefix: `/${service}/`,
      priority: 0,
      service,
      stretch: 1.6,
      target_duration_ms: 600,
      timeout_ms: 3000,
    })),
    services: services.map((name) => ({ enforces_capacity: true, name })),
    version: 1,
    ...extra,
  };
}

/** Returns the pairs of runs of one task that went on at the same time, on executors that were up. */
export function findOverlaps(site) {
  const endOf = ({ endedAt = site.now() }) => endedAt;
  return site.history.flatMap((first, index) =>
    site.history.slice(index + 1).flatMap((second) => {
      const overlapMs = Math.round(Math.min(endOf(first), endOf(second)) - second.startedAt);
      return first.task === second.task && overlapMs > OVERLAP_MS
        ? [
            `TWICE: ${first.task} ran on ${first.executor} (run ${first.run}) and on ${second.executor} ` +
              `(run ${second.run}) at the same time for ${overlapMs} ms`,
          ]
        : [];
    }),
  );
}

/** Waits until a condition holds; returns false at the timeout. */
export async function waitUntil(condition, timeoutMs) {
  const end = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > end) {
      return false;
    }
    await delay(2);
  }
  return true;
}

// Outside the range of the ports that the system gives to others.
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!ports.includes(port) && (await isFree(port))) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

function send(port, method, path, body) {
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const headers = { host: HOST, 'x-sequoiaquay-request-deadline': '3000' };
    if (text !== undefined) {
      Object.assign(headers, {
        'content-length': Buffer.byteLength(text),
        'content-type': 'application/json',
      });
    }
    const req = request(
      { agent: false, headers, host: '127.0.0.1', method, path, port, timeout: 3000 },
      (res) => {
        let received = '';
        res.on('data', (chunk) => (received += chunk));
        res.on('error', () => {
          resolve({ body: 'no answer', status: 0 });
        });
        res.on('end', () => {
          resolve({ body: received, status: res.statusCode });
        });
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve({ body: 'no answer', status: 0 });
    });
    req.end(text);
  });
}
