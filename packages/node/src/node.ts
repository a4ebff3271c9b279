import type { FleetConfig, JobRecord, Wave } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import type { Hono } from 'hono';
import {
  decodeJobRecord,
  isLeadershipRecord,
  JOB_RECORD,
  JobTable,
  leaderFitness,
} from '@sequoiaquay/core/jobs';
import { setMaxListeners } from 'node:events';
import type { NodeGauges, NodeMetrics } from './node-metrics';
import type { NodePorts } from './node-ports';
import type { NodeSettings } from './node-settings';
import type { StoredRecord } from './ports/keyed-stream';
import type { LeaderLink } from './ports/leader-link';
import type { RequestedWave, TermContext } from './term';
import { CallerService } from './caller-service';
import { submissionBytes } from './client-limits';
import { EventLoopMonitor } from './event-loop-monitor';
import { GroupCommit } from './group-commit';
import { JobWriter } from './job-writer';
import { RpcLeaderLink } from './leader-client';
import { Leadership } from './leadership';
import { appendLimits, linkBytesPerS } from './node-settings';
import { OverloadMonitor } from './overload-monitor';
import { PeerIntake } from './peer-intake';
import { createPeerApp } from './peer-server';
import { StreamTail } from './stream-tail';
import { SubmissionBudget } from './submission-budget';
import { Term } from './term';

/** Delay before a failed read of a stream is retried, in ms. */
const TAIL_RETRY_DELAY_MS = 100;

/** Time for which the store holds a read open, in ms: short, so that a dead connection is detected soon. */
const TAIL_WAIT_MS = 1000;

/**
 * Pause after a read that returned records, on the leader and on other nodes, in ms. On the others it bounds
 * what following the stream costs, whatever the rate of jobs; a caller's question ends it.
 */
const LEADER_READ_PAUSE_MS = 4;
const FOLLOWER_READ_PAUSE_MS = 150;

/** Age of the job table above which a node reports that it is not ready, in ms. */
const MAX_READY_STATE_AGE_MS = 2500;

const LEADERSHIP_SETTINGS = {
  heartbeatIntervalMs: 500,
  heartbeatTimeoutMs: 1600,
  maxElectionDelayMs: 250,
  storeTimeoutMs: 1000,
};

/**
 * Times of the succession, in ms. A node that waits longest, for a fitter one and for a named successor, takes
 * over long before the leases of runs end.
 */
const SUCCESSION_TIMES = {
  handoverIntervalMs: 15_000,
  holdBackMs: 500,
  maxRequestDelayMs: 1000,
  maxUnfitDelayMs: 600,
  minReachableMs: 3000,
  minTermMs: 3000,
  quietAfterLossMs: 30_000,
  requestIntervalMs: 5000,
};

/** Node process: serves callers, and is a candidate for the leadership of all nodes. */
export class Node {
  readonly #abort = new AbortController();
  readonly callers: CallerService;
  readonly #eventLoop: EventLoopMonitor;
  readonly #jobs = new JobTable();
  readonly #jobsTail: StreamTail;
  readonly #leadership: Leadership;
  readonly #operatorsTail: StreamTail;
  readonly #overload: OverloadMonitor;
  #isStopRequested = false;
  readonly #peers: PeerIntake;
  readonly #submissions: SubmissionBudget;
  #term: Term | undefined;
  readonly #waves = new Map<number, RequestedWave>();
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
    this.#eventLoop = new EventLoopMonitor(metrics, timers);
    this.#overload = new OverloadMonitor(linkBytesPerS(cfg), this.#eventLoop, metrics, timers, log);
    const tail = { retryDelayMs: TAIL_RETRY_DELAY_MS, waitMs: TAIL_WAIT_MS };
    const isLeader = (): boolean => this.#term !== undefined;
    this.#jobsTail = new StreamTail(
      ports.jobs,
      {
        ...tail,
        readPauseMs: () => (isLeader() ? LEADER_READ_PAUSE_MS : FOLLOWER_READ_PAUSE_MS),
        name: 'jobs',
      },
      (record) => {
        this.#onStoredJobRecord(record);
      },
      timers,
      log,
    );
    this.#operatorsTail = new StreamTail(
      ports.operators,
      { ...tail, readPauseMs: () => 0, name: 'operators' },
      (record) => {
        this.#onOperatorRecord(record);
      },
      timers,
      log,
    );
    const link = cfg.peerAddress === undefined ? undefined : new RpcLeaderLink();
    this.#writer = new JobWriter(
      ports.jobs,
      (record) => {
        this.#applyJobRecord(record);
      },
      timers,
      log,
      signal,
      appendLimits(cfg),
      link === undefined ? undefined : this.#createGroupCommit(link),
    );
    this.#peers = new PeerIntake({
      fastAppends: () => this.#writer.fastAppends,
      leads: (epoch) => this.#leadership.leads(epoch),
      timers,
      write: (record, deadline) => this.#writer.writeForPeer(record, deadline),
    });
    this.#submissions = new SubmissionBudget(submissionBytes(cfg));
    this.callers = new CallerService(
      this.#jobs,
      this.#jobsTail,
      this.#writer,
      timers,
      log,
      metrics,
      this.#submissions,
      () => this.#operatorsTail.ageMs(),
    );
    this.#leadership = new Leadership(
      {
        ...LEADERSHIP_SETTINGS,
        node: cfg.name,
        peerAddress: cfg.peerAddress,
        succession: { ...SUCCESSION_TIMES, fitness: leaderFitness(cfg), node: cfg.name },
      },
      ports.runs,
      this.#jobsTail,
      this.#writer,
      (start, onLost, termSignal, retire) => {
        this.#overload.run(termSignal);
        return this.#runTerm(new Term(this.#termContext(), start, onLost, termSignal, retire));
      },
      timers,
      log,
      link,
    );
  }

  /** Application for the calls of other nodes. */
  createPeerApp(): Hono {
    return createPeerApp(this.#peers, () => this.#leadership.ownSecret);
  }

  #createGroupCommit(link: LeaderLink): GroupCommit {
    const { log, metrics, timers } = this;
    return new GroupCommit({
      beat: () => {
        this.#leadership.beat();
      },
      isLeader: () => this.#leadership.ownEpoch !== undefined,
      leader: () => this.#leadership.leader(),
      link,
      linkBytesPerS: linkBytesPerS(this.cfg),
      log,
      metrics,
      onLeads: (epoch) => {
        this.#leadership.onLeads(epoch);
      },
      timers,
    });
  }

  /** Whether the node can serve callers; false while it stops, has no configuration or lags behind the store. */
  get isReady(): boolean {
    return (
      !this.#isStopRequested &&
      this.callers.cfg !== undefined &&
      this.#jobsTail.ageMs() < MAX_READY_STATE_AGE_MS
    );
  }

  /** Returns the functions that read the values of the gauges. */
  gauges(linesDropped: () => number): NodeGauges {
    return {
      cfgVersion: () => this.callers.cfg?.version,
      jobsKnown: () => this.#jobs.size,
      linesDropped,
      ownEpoch: () => this.#leadership.ownEpoch,
      poolUses: () => this.#term?.pools.uses() ?? [],
      stateAgeMs: () => this.#jobsTail.ageMs(),
      submissionBytes: () => this.#submissions.heldBytes,
      waitingPeerRecords: () => this.#peers.waitingRecords,
      withdrawnIds: () => this.#jobs.withdrawnCount,
      waiting: () => {
        const queues = this.callers.cfg?.queues ?? [];
        return new Map(queues.map((queue) => [queue.name, this.#jobs.countQueued(queue.name)]));
      },
      waitingWithRoom: () => this.#term?.pools.waitingWithRoom() ?? new Map(),
      workspaceLoads: () => this.#term?.pools.workspaceLoads() ?? [],
    };
  }

  /** Whether the node has been asked to stop. */
  get isStopping(): boolean {
    return this.#isStopRequested;
  }

  /** Runs the node until the signal aborts; resolves when it has stepped down as leader. */
  async run(stop: AbortSignal): Promise<void> {
    const { signal } = this.#abort;
    this.#isStopRequested = stop.aborted;
    stop.addEventListener('abort', () => {
      this.#isStopRequested = true;
    });
    void this.#eventLoop.run(signal);
    void this.#jobsTail.run(signal);
    void this.#operatorsTail.run(signal);
    await this.#leadership.run(stop);
  }

  /** Aborts all work that the node still does, including the tails of the streams and pending writes. */
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
      ownHeartbeatAgeMs: () => this.#leadership.ownHeartbeatAgeMs,
      ports: this.ports,
      settings: this.cfg,
      timers: this.timers,
      waves: this.#waves,
      writer: this.#writer,
    };
  }

  #onStoredJobRecord(stored: StoredRecord): void {
    decodeJobRecord(stored.key, stored.value).match(
      (record) => {
        this.#applyJobRecord(record);
      },
      (error) => {
        this.log.error({ error, offset: stored.offset }, 'record skipped');
      },
    );
  }

  #applyJobRecord(record: JobRecord): void {
    if (isLeadershipRecord(record)) {
      this.#leadership.onRecord(record);
      return;
    }
    const entry = this.#jobs.apply(record);
    const id = record.kind === JOB_RECORD.submit ? record.job.id : record.id;
    if (entry?.isWithdrawn === true && record.kind === JOB_RECORD.submit && this.#term !== undefined) {
      this.log.info({ job: id }, 'job not run, cancelled before its submission was stored');
    }
    if (entry !== undefined && record.kind !== JOB_RECORD.state) {
      this.#term?.onJob(id, entry);
    }
  }

  #onOperatorRecord(stored: StoredRecord): void {
    if (stored.value === undefined) {
      return;
    }
    const decoded = this.ports.codec.decodeOperatorRecord(stored.key, stored.value);
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
      const requested = { receivedAt: this.timers.mono(), wave };
      this.#waves.set(wave.id, requested);
      this.#term?.onWave(requested);
    }
  }

  #onConfig(cfg: FleetConfig): void {
    const previousVersion = this.callers.cfg?.version;
    if (previousVersion !== undefined && previousVersion >= cfg.version) {
      return;
    }
    this.callers.cfg = cfg;
    this.log.info(
      {
        before: previousVersion,
        queues: cfg.queues.length,
        version: cfg.version,
        workspaces: cfg.workspaces?.length,
      },
      'configuration in force',
    );
    this.#term?.onConfig(cfg);
  }
}
