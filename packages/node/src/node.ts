import type { FleetConfig, JobRecord, Wave } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { decodeJobRecord, JOB_RECORD, JobTable } from '@sequoiaquay/core/jobs';
import { setMaxListeners } from 'node:events';
import type { NodeMetrics, NodeValues } from './node-metrics';
import type { NodePorts } from './node-ports';
import type { NodeSettings } from './node-settings';
import type { StoredRecord } from './ports/keyed-stream';
import type { AskedWave, TermContext } from './term';
import { CallerService } from './caller-service';
import { JobWriter } from './job-writer';
import { Leadership } from './leadership';
import { StreamTail } from './stream-tail';
import { Term } from './term';

const TAIL_RETRY_MS = 100;

/** Time for which the store holds a read open: short, so that a silent connection is noticed, in ms. */
const TAIL_WAIT_MS = 1000;

/** Pause between reads that bring records, on the leader and on other nodes, in ms. */
const LEADER_GAP_MS = 4;
const FOLLOWER_GAP_MS = 60;

/** Age of the state above which a node reports that it is not ready, in ms. */
const READY_AGE_MS = 2500;

const LEADERSHIP = { heartbeatMs: 500, limitMs: 1000, silenceMs: 1600, spreadMs: 250 };

/** A node: serves callers, and leads when no other node does. */
export class Node {
  readonly #abort = new AbortController();
  readonly callers: CallerService;
  readonly #jobs = new JobTable();
  readonly #jobsTail: StreamTail;
  readonly #leadership: Leadership;
  readonly #operatorsTail: StreamTail;
  #stopping = false;
  #term: Term | undefined;
  readonly #waves = new Map<number, AskedWave>();
  readonly #writer: JobWriter;

  constructor(
    private readonly cfg: NodeSettings,
    private readonly ports: NodePorts,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly metrics: NodeMetrics,
  ) {
    const { signal } = this.#abort;
    setMaxListeners(0, signal);
    const tail = { retryMs: TAIL_RETRY_MS, waitMs: TAIL_WAIT_MS };
    const isLeader = (): boolean => this.#term !== undefined;
    this.#jobsTail = new StreamTail(
      ports.jobs,
      { ...tail, gapMs: () => (isLeader() ? LEADER_GAP_MS : FOLLOWER_GAP_MS), name: 'jobs' },
      (record) => {
        this.#onJobRecord(record);
      },
      timers,
      log,
    );
    this.#operatorsTail = new StreamTail(
      ports.operators,
      { ...tail, gapMs: () => 0, name: 'operators' },
      (record) => {
        this.#onOperatorRecord(record);
      },
      timers,
      log,
    );
    this.#writer = new JobWriter(
      ports.jobs,
      (record) => {
        this.#apply(record);
      },
      timers,
      log,
      signal,
    );
    this.callers = new CallerService(this.#jobs, this.#jobsTail, this.#writer, timers, log, metrics, signal);
    this.#leadership = new Leadership(
      { ...LEADERSHIP, node: cfg.name },
      ports.runs,
      this.#jobsTail,
      this.#writer,
      (start, onLost, termSignal) => this.#runTerm(new Term(this.#termContext(), start, onLost, termSignal)),
      timers,
      log,
    );
  }

  /** Whether the platform should send callers here. */
  get ready(): boolean {
    return !this.#stopping && this.callers.cfg !== undefined && this.#jobsTail.age() < READY_AGE_MS;
  }

  /** Values for the metrics. */
  values(linesDropped: () => number): NodeValues {
    return {
      cfgVersion: () => this.callers.cfg?.version,
      jobsKnown: () => this.#jobs.size,
      linesDropped,
      ownEpoch: () => this.#leadership.ownEpoch,
      stateAgeMs: () => this.#jobsTail.age(),
      waiting: () => {
        const queues = this.callers.cfg?.queues ?? [];
        return new Map(queues.map((queue) => [queue.name, this.#jobs.countQueued(queue.name)]));
      },
    };
  }

  /** Whether the node is to end. */
  get stopping(): boolean {
    return this.#stopping;
  }

  /** Runs the node until `stop` was called with a signal that has aborted; gives up the lead first. */
  async run(stop: AbortSignal): Promise<void> {
    const { signal } = this.#abort;
    stop.addEventListener('abort', () => {
      this.#stopping = true;
    });
    void this.#jobsTail.run(signal);
    void this.#operatorsTail.run(signal);
    await this.#leadership.run(stop);
  }

  /** Ends all that the node still does. */
  close(): void {
    this.#abort.abort();
  }

  async #runTerm(term: Term): Promise<void> {
    this.#term = term;
    await term.run();
    this.#term = undefined;
  }

  #termContext(): TermContext {
    return {
      cfg: () => this.callers.cfg,
      jobs: this.#jobs,
      jobsTail: this.#jobsTail,
      log: this.log,
      metrics: this.metrics,
      ports: this.ports,
      proofAge: () => this.#leadership.proofAge,
      settings: this.cfg,
      timers: this.timers,
      waves: this.#waves,
      writer: this.#writer,
    };
  }

  #onJobRecord(stored: StoredRecord): void {
    decodeJobRecord(stored.key, stored.value).match(
      (record) => {
        this.#apply(record);
      },
      (error) => {
        this.log.error({ error, offset: stored.offset }, 'record skipped');
      },
    );
  }

  #apply(record: JobRecord): void {
    if (record.kind === JOB_RECORD.leader) {
      this.#leadership.onRecord(record);
      return;
    }
    const entry = this.#jobs.apply(record);
    const id = record.kind === JOB_RECORD.submit ? record.job.id : record.id;
    if (entry !== undefined && record.kind !== JOB_RECORD.state) {
      this.#term?.onJob(id, entry);
    }
  }

  #onOperatorRecord(stored: StoredRecord): void {
    if (stored.value === undefined) {
      return;
    }
    const decoded = this.ports.codec.operator(stored.key, stored.value);
    if (decoded.isErr()) {
      this.log.error({ error: decoded.error, key: stored.key }, 'operator record skipped');
      return;
    }
    if (decoded.value?.kind === 'config') {
      this.#onConfig(decoded.value.cfg);
    } else if (decoded.value?.kind === 'wave') {
      this.#onWave(decoded.value.wave);
    }
  }

  #onWave(wave: Wave): void {
    if (!this.#waves.has(wave.id)) {
      const asked = { at: this.timers.mono(), wave };
      this.#waves.set(wave.id, asked);
      this.#term?.onWave(asked);
    }
  }

  #onConfig(cfg: FleetConfig): void {
    const before = this.callers.cfg?.version;
    if (before !== undefined && before >= cfg.version) {
      return;
    }
    this.callers.cfg = cfg;
    this.log.info({ before, queues: cfg.queues.length, version: cfg.version }, 'configuration in force');
    this.#term?.onConfig(cfg);
  }
}
