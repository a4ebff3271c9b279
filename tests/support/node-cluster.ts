import type { Job, JobRecord } from '@sequoiaquay/core/jobs';
import type { Agent } from 'node:http';
import { encodeJobRecord, JOB_RECORD } from '@sequoiaquay/core/jobs';
import { FaultRoute, NarrowLink, seededRandom, StoreStandIn } from '@sequoiaquay/stand-ins';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { step } from '../../packages/core/tests/jobs/support/jobs';
import { findFreePorts } from './ports';
import { BinaryProcess } from './process';
import { waitFor } from './wait-for';

/** Topic with the jobs, and topic with the configuration. */
export const JOBS_TOPIC = 'keyed.jobs';
const OPERATORS_TOPIC = 'keyed.op';

const HOST = 'jobs.example';
const PATH_PREFIX = '/render/';
const QUEUE = 'render';
const POOL = 'farm';

/** Flags of the runtime, as in the deployment. */
const NODE_FLAGS = ['--max-old-space-size=120', '--max-semi-space-size=4'];

const READY_TIMEOUT_MS = 20_000;

/** Time for which a caller with a key waits for an answer, in ms. */
const CALL_TIMEOUT_MS = 3000;
/** File with the output of all nodes. */
const LOG_FILE = 'processes.log';
/** Limits of the configuration if a test sets no others. */
const DEFAULT_LIMITS = {
  header_timeout_ms: 5000,
  idle_timeout_ms: 60_000,
  max_body_bytes: 65_536,
  max_header_bytes: 16_384,
};

/** Ticks per second of the processor times that the kernel reports. */
const PROCESSOR_TICKS_PER_S = 100;

/** Answer of a node to a caller; status 0 stands for no answer in time. */
export interface NodeAnswer {
  body: string;
  durationMs: number;
  retryAfter: string | undefined;
  status: number;
}

/** Options of a cluster of nodes. */
export interface NodeClusterOptions {
  /** Age above which the store drops records from its history, in ms; unlimited by default. */
  historyMs?: number;
  /** Limits of the configuration, in the platform's format. */
  limits?: Record<string, number>;
  nodes: number;
  /** Whether the nodes call each other; they don't by default. */
  peers?: boolean;
  /** Further settings of each node. */
  settings?: Record<string, unknown>;
}

/** Node process with its own link to the store. */
export interface NodeVm {
  readonly callerPort: number;
  readonly link: NarrowLink;
  readonly metricsPort: number;
  /** Port for the calls of other nodes; 0 if the node takes none. */
  readonly peerPort: number;
  process: BinaryProcess;
  readonly readinessPort: number;
  /** Fault route from the node to the store. */
  readonly route: FaultRoute;
  readonly settingsFile: string;
}

/** Nodes as separate processes, each behind its own link to a stand-in of the store. */
export class NodeCluster {
  readonly directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-node-'));
  readonly nodes: NodeVm[] = [];

  private constructor(
    readonly store: StoreStandIn,
    private readonly options: NodeClusterOptions,
  ) {
    this.configure();
  }

  /** Writes the configuration, as the operators do; the fields replace those of the first configuration. */
  configure(fields: object = {}): void {
    const value = JSON.stringify({ ...createConfig(this.options.limits), ...fields });
    this.store.append(OPERATORS_TOPIC, [{ key: 'config', value }]);
  }

  /** Starts a store with earlier jobs, and nodes with unlimited links; waits until all nodes are ready. */
  static async start(options: NodeClusterOptions, earlierJobs: readonly JobRecord[]): Promise<NodeCluster> {
    const cluster = new NodeCluster(await StoreStandIn.start({ historyMs: options.historyMs }), options);
    cluster.store.append(JOBS_TOPIC, earlierJobs.flatMap(encodeJobRecord));
    const portCount = options.peers === true ? 4 : 3;
    const ports = await findFreePorts(portCount * options.nodes);
    for (let index = 0; index < options.nodes; index += 1) {
      cluster.nodes.push(await cluster.#createNode(index, ports.splice(0, portCount)));
    }
    await Promise.all(cluster.nodes.map((_, index) => cluster.waitUntilReady(index, READY_TIMEOUT_MS)));
    return cluster;
  }

  /** Kills all nodes and closes their routes and the store. */
  async stop(): Promise<void> {
    await this.kill(...this.nodes.keys());
    for (const { route } of this.nodes) {
      route.close();
    }
    this.store.stop();
  }

  /** Kills nodes at once, all of them before the first has ended. */
  async kill(...indexes: number[]): Promise<void> {
    await Promise.all(indexes.map((index) => this.getNode(index).process.stop('SIGKILL')));
  }

  /** Starts a node again with the same settings. The former process must have ended. */
  restart(index: number): void {
    const node = this.getNode(index);
    node.process = this.#spawn(node.settingsFile);
  }

  /** Limits the rate of the links of nodes, in bytes per second; undefined removes the limit. */
  setRate(bytesPerS: number | undefined, ...indexes: number[]): void {
    for (const index of indexes) {
      this.getNode(index).link.bytesPerS = bytesPerS;
    }
  }

  /** Waits until a node reports that it is ready. */
  async waitUntilReady(index: number, timeoutMs: number): Promise<void> {
    await waitFor(`readiness of node ${index}`, timeoutMs, async () =>
      (await this.isReady(index)) ? true : undefined,
    );
  }

  /** Waits until a node answers callers, if only with refusals. */
  async waitUntilListening(index: number): Promise<void> {
    await waitFor(`answers of node ${index}`, READY_TIMEOUT_MS, async () =>
      (await call(this.getNode(index).callerPort, 'GET', '/', 1000)).status > 0 ? true : undefined,
    );
  }

  /** Returns whether a node reports that it is ready. */
  async isReady(index: number): Promise<boolean> {
    return (await call(this.getNode(index).readinessPort, 'GET', '/', 1000)).status === 200;
  }

  /** Submits a job with one step to a node. */
  submit(index: number, id: string, body: string, timeoutMs: number): Promise<NodeAnswer> {
    const { callerPort } = this.getNode(index);
    return call(callerPort, 'POST', `${PATH_PREFIX}${id}`, timeoutMs, createBody(body));
  }

  /**
   * Sends a request with an API key, undefined for none, on the connections of an agent. Without a text the method is
   * GET or DELETE.
   */
  callWithKey(
    index: number,
    call: { agent: Agent; body?: string; id: string; key: string | undefined; method: string },
  ): Promise<NodeAnswer> {
    const { callerPort } = this.getNode(index);
    const headers = call.key === undefined ? {} : { 'x-api-key': call.key };
    const path = `${PATH_PREFIX}${call.id}`;
    const body = call.body === undefined ? undefined : createBody(call.body);
    return send(callerPort, call.method, path, CALL_TIMEOUT_MS, { agent: call.agent, body, headers });
  }

  /** Returns the metrics of a node in the Prometheus text format. */
  async metrics(index: number): Promise<string> {
    return (await call(this.getNode(index).metricsPort, 'GET', '/metrics', READY_TIMEOUT_MS)).body;
  }

  /** Asks a node for the state of a job. */
  show(index: number, id: string, timeoutMs: number): Promise<NodeAnswer> {
    return call(this.getNode(index).callerPort, 'GET', `${PATH_PREFIX}${id}`, timeoutMs);
  }

  /** Returns the lines that the nodes have logged so far with a message. */
  logLines(message: string): Record<string, unknown>[] {
    const lines = readFileSync(join(this.directory, LOG_FILE), 'utf8').split('\n');
    return lines
      .filter((line) => line.includes(JSON.stringify(message)))
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Returns the processor time that a node has used since its start, in seconds. */
  processorSeconds(index: number): number {
    const stat = readFileSync(`/proc/${this.getNode(index).process.pid}/stat`, 'utf8');
    // The name of the program, in parentheses, may contain spaces. User and system time follow at 11 and 12.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) / PROCESSOR_TICKS_PER_S;
  }

  /** Returns a node by its index. */
  getNode(index: number): NodeVm {
    const node = this.nodes[index];
    if (node === undefined) {
      throw new Error(`the cluster has no node ${index}`);
    }
    return node;
  }

  async #createNode(index: number, ports: number[]): Promise<NodeVm> {
    const [host = '', port] = this.store.address.split(':');
    const link = new NarrowLink(undefined);
    const route = new FaultRoute({ host, port: Number(port) }, link);
    const storePort = await route.listenOnFreePort();
    const [callerPort = 0, readinessPort = 0, metricsPort = 0, peerPort] = ports;
    const settingsFile = join(this.directory, `node-${index}.json`);
    const settings = {
      availabilityZone: `zone-${index % 3}`,
      bounds: { gracePeriodS: 5, leaseDurationMs: 4000, maxLeaseMs: 5000, stateKeptS: 600 },
      callerAddress: `127.0.0.1:${callerPort}`,
      metricsAddress: `127.0.0.1:${metricsPort}`,
      name: `node-${index}`,
      peerAddress: peerPort === undefined ? undefined : `127.0.0.1:${peerPort}`,
      readinessAddress: `127.0.0.1:${readinessPort}`,
      storeAddress: `127.0.0.1:${storePort}`,
      ...this.options.settings,
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const process = this.#spawn(settingsFile);
    return {
      callerPort,
      link,
      metricsPort,
      peerPort: peerPort ?? 0,
      process,
      readinessPort,
      route,
      settingsFile,
    };
  }

  #spawn(settingsFile: string): BinaryProcess {
    const logFile = join(this.directory, LOG_FILE);
    return new BinaryProcess('sequoiaquay-node', ['--settings', settingsFile], logFile, NODE_FLAGS);
  }
}

/**
 * Returns the records of running jobs, two for each: the acceptance and the start. The texts of the jobs have
 * `bodyBytes` on average.
 */
export function createRunningJobs(count: number, bodyBytes: number, seed: number): JobRecord[] {
  const random = seededRandom(seed);
  return Array.from({ length: count }, (_, number) => {
    const body = createText(Math.round(2 * bodyBytes * random()), random);
    const id = createJobId(seed, number);
    return [
      { job: createJob(id, body), kind: JOB_RECORD.submit },
      { id, kind: JOB_RECORD.state, state: 'running' as const },
    ];
  }).flat();
}

/** Returns a job id that differs for each seed and number. */
export function createJobId(seed: number, number: number): string {
  // Spread over the range of ids, like those of callers.
  const spread = Math.floor(seededRandom(seed * 100_003 + number)() * 0xffff_ffff);
  return `${spread.toString(16).padStart(8, '0')}${number.toString(16).padStart(8, '0')}`;
}

/** Returns a text of a number of characters. */
export function createText(length: number, random: () => number): string {
  let text = '';
  while (text.length < length) {
    text += random().toString(36).slice(2);
  }
  return text.slice(0, length);
}

function createJob(id: string, body: string): Job {
  const demand = { cpuMilli: 500, gpus: 0, memoryMb: 256 };
  const steps = [step({ demand, estimatedMs: 900 })];
  return { acceptedAt: Date.now(), id, pool: POOL, queue: QUEUE, spec: { body, steps } };
}

function createConfig(limits: Record<string, number> = DEFAULT_LIMITS): object {
  return {
    limits,
    routes: [{ host: HOST, name: QUEUE, path_prefix: PATH_PREFIX, service: POOL }],
    services: [{ name: POOL }],
    version: 1,
  };
}

function createBody(text: string): string {
  const steps = [{ count: 1, cpu: 500, estimated_ms: 900, mem_mb: 256 }];
  return JSON.stringify({ specification: text, steps });
}

function call(
  port: number,
  method: string,
  path: string,
  timeoutMs: number,
  body?: string,
): Promise<NodeAnswer> {
  return send(port, method, path, timeoutMs, { agent: false, body, headers: {} });
}

function send(
  port: number,
  method: string,
  path: string,
  timeoutMs: number,
  { agent, body, headers }: { agent: Agent | false; body: string | undefined; headers: object },
): Promise<NodeAnswer> {
  const sentAt = performance.now();
  const allHeaders = {
    host: HOST,
    'x-sequoiaquay-request-deadline': String(timeoutMs),
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    ...headers,
  };
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(timeoutMs);
    const fail = (error: Error): void => {
      resolve({
        body: error.message,
        durationMs: performance.now() - sentAt,
        retryAfter: undefined,
        status: 0,
      });
    };
    const options = { agent, headers: allHeaders, host: '127.0.0.1', method, path, port, signal };
    const req = request(options, (res) => {
      let text = '';
      res.on('error', fail);
      res.on('data', (chunk: Buffer) => (text += chunk.toString()));
      res.on('end', () => {
        const retryAfter = res.headers['retry-after'];
        const durationMs = performance.now() - sentAt;
        resolve({ body: text, durationMs, retryAfter, status: res.statusCode ?? 0 });
      });
    });
    req.on('error', fail);
    req.end(body);
  });
}
