import type {
  KeyedRecord,
  LeaderRecord,
  LeaderRequestRecord,
  LeadershipRecord,
  StoredTasks,
  SuccessionSettings,
} from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { JOB_RECORD, LeaderContact, MAX_CONFIRMED_AGE_MS, Succession } from '@sequoiaquay/core/jobs';
import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { JobWriter } from './job-writer';
import type { KeyedStream } from './ports/keyed-stream';
import type { LeaderLink, LeaderTarget } from './ports/leader-link';
import type { StreamTail } from './stream-tail';
import { WRITE_OUTCOME } from './job-writer';
import { MAX_HEARTBEAT_AGE_MS } from './lease-times';
import { TermStore } from './term-store';

/** Settings of the leader election. */
export interface LeadershipSettings {
  /** Interval between the leader's heartbeats, in ms. */
  heartbeatIntervalMs: number;
  /** Time without a heartbeat after which another node may acquire leadership, in ms. */
  heartbeatTimeoutMs: number;
  /** Longest random delay before a candidate tries to acquire leadership, in ms. */
  maxElectionDelayMs: number;
  /** Name of this node. */
  node: string;
  /** Address at which other nodes call this one; undefined if it takes no calls. */
  peerAddress?: string | undefined;
  /** Timeout of a call to the store, in ms. */
  storeTimeoutMs: number;
  succession: SuccessionSettings;
}

/** State from which a leader starts its term. */
export interface TermStart {
  /** Fencing token of the term; increases with each term. */
  epoch: number;
  /** Monotonic time of the previous leader's last heartbeat, in ms, and whether it released leadership then. */
  lastHeartbeat: { at: number; released: boolean };
  /** Monotonic time until which the leaders of the terms before the last one may have extended leases, in ms. */
  olderTermsExtendUntil: number;
  /** Records of the stream of runs that are not about tasks. */
  otherRecords: KeyedRecord[];
  /** Offset after the last record of the stream of runs. */
  runsEnd: number;
  /** State of the tasks, as earlier terms have stored it. */
  tasks: StoredTasks;
}

/**
 * Runs a term until the signal aborts, or until its records are stored after `retire` has aborted; `onLost`
 * reports that leadership is lost, which ends the term.
 */
export type TermRunner = (
  start: TermStart,
  onLost: (reason: string) => void,
  signal: AbortSignal,
  retire: AbortSignal,
) => Promise<void>;

/** Interval between checks for a missing leader, in ms. */
const CHECK_INTERVAL_MS = 50;

/** Timeout of the question whether a node leads, in ms. */
const CONFIRM_TIMEOUT_MS = 400;

/**
 * Age of the data read, in ms, above which a leader takes no calls of other nodes: appends of a store that is
 * only slow end its reads sooner.
 */
const MAX_LEADER_STATE_AGE_MS = 1200;

/** Bytes of the secret of a term. */
const SECRET_BYTES = 18;

/** Time for which a node is no candidate after a failed election or the end of its own term, in ms. */
const ELECTION_BACKOFF_MS = 300;

/**
 * Age of the data read, in ms, above which a node is no candidate, because it may have missed heartbeats; two
 * reads that wait for records stay below it.
 */
const MAX_CANDIDATE_STATE_AGE_MS = 2200;

/** Time after which a leader that hands over releases leadership even if its records are not stored, in ms. */
const MAX_RETIRE_MS = 500;

/**
 * Elects the leader over the store. A term starts with a conditional append to the stream of runs, so that
 * only one of several candidates succeeds; the offset of the appended record is the fencing token.
 */
export class Leadership {
  /** Fencing token of this node's term as leader; undefined while it is not the leader. */
  ownEpoch: number | undefined;

  /** Secret of this node's last term; undefined before the first, or if the node takes no calls. */
  ownSecret: string | undefined;

  readonly #contact = new LeaderContact();
  /** Leader of the latest term, if another node and if it takes calls. */
  #target: LeaderTarget | undefined;
  /** Monotonic time at which the random delay of this candidate ends, in ms. */
  #electionDelayEndsAt: number | undefined;
  /** Monotonic time at which the delay ends by which this candidate leaves the leadership to fitter ones. */
  #extraDelayEndsAt: number | undefined;
  #handOver: ((successor: string) => void) | undefined;
  #latestEpoch = 0;
  #latestLeader: string | undefined;
  #olderTermsExtendUntil = -Infinity;
  #ownHeartbeatAt = -Infinity;
  #ownHeartbeatWallAt = -Infinity;
  #releasedAt: number | undefined;
  #lastHeartbeatAt: number;
  #termController: AbortController | undefined;
  #backoffUntil = 0;
  readonly #store: TermStore;
  readonly #succession: Succession;

  constructor(
    private readonly settings: LeadershipSettings,
    runs: KeyedStream,
    private readonly jobsTail: StreamTail,
    private readonly writer: JobWriter,
    private readonly runTerm: TermRunner,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly link?: LeaderLink,
  ) {
    this.#lastHeartbeatAt = timers.mono();
    this.#store = new TermStore(settings, runs, timers, log);
    this.#succession = new Succession(settings.succession);
  }

  /**
   * Age of this node's last stored heartbeat as leader, in ms; the larger of the ages by the monotonic and
   * the wall clock. A successor has read that heartbeat, and therefore knows how long this node may still
   * act as leader.
   */
  get ownHeartbeatAgeMs(): number {
    return Math.max(this.timers.mono() - this.#ownHeartbeatAt, this.timers.now() - this.#ownHeartbeatWallAt);
  }

  /**
   * Returns the leader that this node can call; undefined if this node leads, or the leader takes no calls or
   * has missed its heartbeats.
   */
  leader(): LeaderTarget | undefined {
    const isCurrent = this.ownEpoch === undefined && this.#target?.epoch === this.#latestEpoch;
    if (!isCurrent || this.#releasedAt !== undefined) {
      return undefined;
    }
    const now = this.timers.mono();
    const isAlive = now - this.#lastHeartbeatAt < this.settings.heartbeatTimeoutMs;
    return isAlive || this.#contact.isConfirmed(now) ? this.#target : undefined;
  }

  /** Returns whether this node leads a term, reads the store and has read a heartbeat of its own lately. */
  leads(epoch: number): boolean {
    return (
      this.ownEpoch === epoch &&
      this.#termController?.signal.aborted === false &&
      this.jobsTail.reachableSince !== undefined &&
      this.jobsTail.ageMs() < MAX_LEADER_STATE_AGE_MS &&
      this.timers.mono() - this.#lastHeartbeatAt < MAX_CONFIRMED_AGE_MS
    );
  }

  /** Writes a heartbeat now; does nothing while this node doesn't lead. */
  beat(): void {
    if (this.ownEpoch !== undefined && this.#termController?.signal.aborted === false) {
      void this.#writeHeartbeat(this.ownEpoch, false);
    }
  }

  /** Notes that the leader of a term has answered that it leads. */
  onLeads(epoch: number): void {
    this.#contact.onConfirmed(epoch, this.timers.mono());
  }

  /** Handles a leader's heartbeat, its release of leadership or a request for it from the stream of jobs. */
  onRecord(record: LeadershipRecord): void {
    if (record.kind === JOB_RECORD.leaderRequest) {
      this.#onRequest(record);
    } else {
      this.#onHeartbeat(record);
    }
  }

  #onRequest(request: LeaderRequestRecord): void {
    const now = this.timers.mono();
    this.#succession.onRequest(request, now);
    if (this.ownEpoch !== undefined && this.#succession.accepts(request, this.ownEpoch, now)) {
      this.#handOver?.(request.node);
    }
  }

  #onHeartbeat(record: LeaderRecord): void {
    if (record.epoch < this.#latestEpoch) {
      return;
    }
    if (record.epoch > this.#latestEpoch) {
      this.log.info({ epoch: record.epoch, leader: record.node }, 'leader changed');
      this.#onTermChange();
    }
    this.#latestEpoch = record.epoch;
    this.#latestLeader = record.node;
    this.#lastHeartbeatAt = this.timers.mono();
    this.#extraDelayEndsAt = undefined;
    this.#contact.onHeartbeat(record.epoch, this.#lastHeartbeatAt);
    this.#target = this.#toTarget(record);
    this.#succession.onHeartbeat(record, this.#lastHeartbeatAt);
    // A term of an earlier incarnation of this node ended with that process.
    const isEarlierIncarnation = record.node === this.settings.node && record.epoch !== this.ownEpoch;
    this.#releasedAt = record.released || isEarlierIncarnation ? this.#lastHeartbeatAt : undefined;
    if (this.ownEpoch !== undefined && record.epoch > this.ownEpoch) {
      this.#abortTerm(`node ${record.node} is the leader of the later term ${record.epoch}`);
    }
  }

  // Heartbeats of earlier terms were stored before those of the new one. This node may have read only some of them.
  #onTermChange(): void {
    if (this.#releasedAt === undefined) {
      this.#olderTermsExtendUntil = this.timers.mono() + MAX_HEARTBEAT_AGE_MS;
    }
  }

  #toTarget({ epoch, node, peerAddress, secret }: LeaderRecord): LeaderTarget | undefined {
    const isOther = node !== this.settings.node;
    return isOther && peerAddress !== undefined && secret !== undefined
      ? { address: peerAddress, epoch, secret }
      : undefined;
  }

  /** Runs as a candidate, and as the leader when elected, until the signal aborts; then steps down. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#canStartElection()) {
        await this.#acquireLeadership(signal);
      } else {
        this.#requestIfFitter();
        this.#askLateLeader(signal);
      }
      await this.timers.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  // A heartbeat that waits in a slow store says nothing about the leader, so the leader is asked.
  #askLateLeader(signal: AbortSignal): void {
    const target = this.#target;
    if (this.link === undefined || target?.epoch !== this.#latestEpoch || this.#releasedAt !== undefined) {
      return;
    }
    if (this.#contact.takeQuestion(this.timers.mono())) {
      void this.link.confirm(target, CONFIRM_TIMEOUT_MS, signal).andTee((leads) => {
        if (leads) {
          this.onLeads(target.epoch);
        }
      });
    }
  }

  #requestIfFitter(): void {
    const now = this.timers.mono();
    const reachableSince = this.jobsTail.isLoaded ? this.jobsTail.reachableSince : undefined;
    const request = this.#succession.takeRequest(now, reachableSince, Math.random());
    if (request !== undefined) {
      this.log.info({ epoch: request.epoch, fitness: request.fitness }, 'leadership requested');
      void this.writer.write(request, now + this.settings.heartbeatTimeoutMs);
    }
  }

  // A missing heartbeat counts only for the time in which this node could read the stream of jobs.
  #canStartElection(): boolean {
    const now = this.timers.mono();
    const { reachableSince } = this.jobsTail;
    if (reachableSince === undefined || !this.jobsTail.isLoaded || now < this.#backoffUntil) {
      return false;
    }
    if (this.jobsTail.ageMs() > MAX_CANDIDATE_STATE_AGE_MS) {
      return false;
    }
    if (this.#latestLeader === undefined || this.#releasedAt !== undefined) {
      return this.#hasElectionDelayPassed(now);
    }
    const heartbeatAgeMs = now - Math.max(this.#lastHeartbeatAt, reachableSince);
    return (
      heartbeatAgeMs > this.settings.heartbeatTimeoutMs &&
      !this.#contact.isConfirmed(now) &&
      this.#hasElectionDelayPassed(now)
    );
  }

  // Random delays make it likely that only one candidate appends at a time.
  #hasElectionDelayPassed(now: number): boolean {
    const { maxElectionDelayMs } = this.settings;
    this.#electionDelayEndsAt ??= now + Math.random() * maxElectionDelayMs;
    this.#extraDelayEndsAt ??= this.#drawExtraDelay(now);
    if (!this.#succession.isSuccessor && now < Math.max(this.#electionDelayEndsAt, this.#extraDelayEndsAt)) {
      return false;
    }
    this.#electionDelayEndsAt = undefined;
    this.#extraDelayEndsAt = undefined;
    return true;
  }

  #drawExtraDelay(now: number): number {
    const { extraDelayMs } = this.#succession;
    return extraDelayMs === 0 ? now : now + extraDelayMs + Math.random() * this.settings.maxElectionDelayMs;
  }

  async #acquireLeadership(signal: AbortSignal): Promise<void> {
    const start = await this.#beginTerm(signal);
    if (start === undefined || signal.aborted) {
      if (this.#succession.isSuccessor) {
        this.#succession.onTermLost(this.timers.mono());
      }
      this.#backoffUntil = this.timers.mono() + ELECTION_BACKOFF_MS;
      return;
    }
    this.ownEpoch = start.epoch;
    this.ownSecret =
      this.settings.peerAddress === undefined ? undefined : randomBytes(SECRET_BYTES).toString('base64url');
    const term = new AbortController();
    setMaxListeners(0, term.signal);
    this.#termController = term;
    this.log.info({ epoch: start.epoch, tasks: start.tasks.size }, 'term begins');
    const isAnnounced = await this.#writeHeartbeat(start.epoch, false);
    const isReleased = isAnnounced && (await this.#runOwnTerm(start, term, signal));
    if (!isReleased) {
      this.#succession.onTermLost(this.timers.mono());
    }
    this.ownEpoch = undefined;
    this.#backoffUntil = this.timers.mono() + ELECTION_BACKOFF_MS;
    this.#lastHeartbeatAt = this.timers.mono();
    this.log.info({ epoch: start.epoch }, 'term ended');
  }

  // Returns whether this node released its leadership, at a shutdown or to hand it over.
  async #runOwnTerm(start: TermStart, term: AbortController, signal: AbortSignal): Promise<boolean> {
    const retire = new AbortController();
    let isReleased = false;
    let successor: string | undefined;
    // Nothing may be sent between the release and the abort, which ends the extension of leases.
    const release = (reason: string): void => {
      if (!term.signal.aborted) {
        isReleased = true;
        void this.#writeHeartbeat(start.epoch, true, successor);
        this.#abortTerm(reason);
      }
    };
    const onShutdown = (): void => {
      release('the node is shutting down');
    };
    signal.addEventListener('abort', onShutdown, { once: true });
    if (signal.aborted) {
      onShutdown();
    }
    this.#handOver = (node): void => {
      this.#handOver = undefined;
      successor = node;
      retire.abort();
      const onTimeout = (): void => {
        release(`leadership is handed over to ${node}, records are not stored`);
      };
      this.timers.after(MAX_RETIRE_MS, onTimeout, term.signal);
    };
    this.timers.every(
      this.settings.heartbeatIntervalMs,
      () => void this.#writeHeartbeat(start.epoch, false),
      term.signal,
    );
    const onLost = (reason: string): void => {
      this.#abortTerm(reason);
    };
    await this.runTerm(start, onLost, term.signal, retire.signal);
    if (successor !== undefined) {
      release(`leadership is handed over to ${successor}`);
    }
    this.#handOver = undefined;
    signal.removeEventListener('abort', onShutdown);
    return isReleased;
  }

  #abortTerm(reason: string): void {
    if (this.#termController !== undefined && !this.#termController.signal.aborted) {
      this.log.warn({ epoch: this.ownEpoch, reason }, 'term lost');
      this.#termController.abort();
    }
  }

  async #writeHeartbeat(epoch: number, released: boolean, successor?: string): Promise<boolean> {
    const { node, peerAddress, succession } = this.settings;
    const record: LeaderRecord = {
      epoch,
      fitness: succession.fitness,
      kind: JOB_RECORD.leader,
      node,
      peerAddress,
      released,
      secret: this.ownSecret,
      successor,
    };
    const sentAt = this.timers.mono();
    const sentWallAt = this.timers.now();
    const outcome = await this.writer.writePersistently(record, sentAt + this.settings.heartbeatTimeoutMs);
    if (outcome !== WRITE_OUTCOME.stored) {
      return false;
    }
    this.#ownHeartbeatAt = sentAt;
    this.#ownHeartbeatWallAt = sentWallAt;
    return true;
  }

  async #beginTerm(signal: AbortSignal): Promise<TermStart | undefined> {
    const seen = this.#latestEpoch;
    const loaded = await this.#store.load(signal);
    if (loaded === undefined || this.#isUnseenTerm(loaded.termOffset + 1, seen)) {
      return undefined;
    }
    if (!(await this.#store.appendTerm(loaded.end, signal))) {
      return undefined;
    }
    return {
      ...loaded,
      lastHeartbeat: this.#previousHeartbeat(),
      epoch: loaded.end + 1,
      olderTermsExtendUntil: this.#olderTermsExtendUntil,
      runsEnd: loaded.end + 1,
    };
  }

  #previousHeartbeat(): TermStart['lastHeartbeat'] {
    return { at: this.#lastHeartbeatAt, released: this.#releasedAt !== undefined };
  }

  // A term that another node started while this one was a candidate counts as one heartbeat of that node.
  #isUnseenTerm(epoch: number, seen: number): boolean {
    if (epoch <= seen) {
      return false;
    }
    this.log.info({ epoch, seen }, 'another node has just taken over');
    this.#onTermChange();
    this.#latestEpoch = Math.max(this.#latestEpoch, epoch);
    this.#releasedAt = undefined;
    this.#latestLeader ??= '';
    this.#lastHeartbeatAt = this.timers.mono();
    return true;
  }
}
