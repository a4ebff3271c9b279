import type { KeyedRecord, LeaderRecord, TaskRecord } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { decodeTaskRecord, encodeTermRecord, JOB_RECORD, TERM_KEY } from '@sequoiaquay/core/jobs';
import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { JobWriter } from './job-writer';
import type { KeyedStream, StoredRecord } from './ports/keyed-stream';
import type { StreamTail } from './stream-tail';
import { WRITE_OUTCOME } from './job-writer';
import { readNewest } from './newest-records';
import { STORE_FAILURE } from './ports/keyed-stream';

/** Settings of the leadership. */
export interface LeadershipSettings {
  /** Period at which the leader shows that it is alive, in ms. */
  heartbeatMs: number;
  /** Limit for a call to the store, in ms. */
  limitMs: number;
  node: string;
  /** Silence of the leader after which another node takes over, in ms. */
  silenceMs: number;
  /** Longest random delay before a node takes over, in ms. */
  spreadMs: number;
}

/** What a term as leader begins with. */
export interface TermStart {
  /** Fencing token of the term; rises from term to term. */
  epoch: number;
  /** Monotonic time of the last sign of the leader before, in ms, and whether it gave up its term then. */
  lastSign: { at: number; released: boolean };
  /** Records that are not about tasks. */
  otherRecords: KeyedRecord[];
  /** End of the stream of runs. */
  runsEnd: number;
  tasks: TaskRecord[];
}

interface LoadedRuns {
  end: number;
  otherRecords: KeyedRecord[];
  tasks: TaskRecord[];
  /** Offset of the record with which the last term began; -1 when there is none. */
  termOffset: number;
}

/** Runs a term as leader until the signal aborts; `onLost` ends it. */
export type TermRunner = (
  start: TermStart,
  onLost: (reason: string) => void,
  signal: AbortSignal,
) => Promise<void>;

const CHECK_MS = 50;

/** Pause after a failed attempt to take over, in ms. */
const BACKOFF_MS = 300;

/**
 * Decides when this node takes the lead. A term begins with a conditional append to the stream of runs,
 * so that of several candidates one succeeds, and the offset of that record is the fencing token.
 */
export class Leadership {
  /** Fencing token of the term that this node leads; undefined while it does not lead. */
  ownEpoch: number | undefined;

  /** Monotonic time until which this node waits before it stands for the lead, in ms. */
  #candidateUntil: number | undefined;
  #epochSeen = 0;
  #leaderSeen: string | undefined;
  #provenAt = -Infinity;
  #provenWall = -Infinity;
  #releasedAt: number | undefined;
  #signAt: number;
  #term: AbortController | undefined;
  #waitUntil = 0;

  constructor(
    private readonly settings: LeadershipSettings,
    private readonly runs: KeyedStream,
    private readonly jobsTail: StreamTail,
    private readonly writer: JobWriter,
    private readonly runTerm: TermRunner,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {
    this.#signAt = timers.mono();
  }

  /**
   * Time since this node last proved that it leads, in ms, by the clock that shows the longer time. The
   * proof is a stored sign of life: who takes over has seen it, and knows how long this node may act.
   */
  get proofAge(): number {
    return Math.max(this.timers.mono() - this.#provenAt, this.timers.now() - this.#provenWall);
  }

  /** Takes a sign of life, or the end of a term, from the stream of jobs. */
  onRecord(record: LeaderRecord): void {
    if (record.epoch < this.#epochSeen) {
      return;
    }
    if (record.epoch > this.#epochSeen) {
      this.log.info({ epoch: record.epoch, leader: record.node }, 'leader changed');
    }
    this.#epochSeen = record.epoch;
    this.#leaderSeen = record.node;
    this.#signAt = this.timers.mono();
    // A term of an earlier process of this node has ended with that process.
    const isEarlierLife = record.node === this.settings.node && record.epoch !== this.ownEpoch;
    this.#releasedAt = record.released || isEarlierLife ? this.#signAt : undefined;
    if (this.ownEpoch !== undefined && record.epoch > this.ownEpoch) {
      this.#lose(`node ${record.node} leads term ${record.epoch}`);
    }
  }

  /** Stands for the lead until the signal aborts, then gives it up. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#isVacant()) {
        await this.#takeOver(signal);
      }
      await this.timers.sleep(CHECK_MS, signal);
    }
  }

  // Silence counts only while this node would have heard the leader.
  #isVacant(): boolean {
    const now = this.timers.mono();
    const { okSince } = this.jobsTail;
    if (okSince === undefined || !this.jobsTail.loaded || now < this.#waitUntil) {
      return false;
    }
    if (this.#leaderSeen === undefined || this.#releasedAt !== undefined) {
      return this.#hasWaited(now);
    }
    const silentFor = now - Math.max(this.#signAt, okSince);
    return silentFor > this.settings.silenceMs && this.#hasWaited(now);
  }

  // Candidates wait different times, so that one of them is usually alone.
  #hasWaited(now: number): boolean {
    this.#candidateUntil ??= now + Math.random() * this.settings.spreadMs;
    if (now < this.#candidateUntil) {
      return false;
    }
    this.#candidateUntil = undefined;
    return true;
  }

  async #takeOver(signal: AbortSignal): Promise<void> {
    const start = await this.#beginTerm(signal);
    if (start === undefined || signal.aborted) {
      this.#waitUntil = this.timers.mono() + BACKOFF_MS;
      return;
    }
    this.ownEpoch = start.epoch;
    const term = new AbortController();
    setMaxListeners(0, term.signal);
    this.#term = term;
    this.log.info({ epoch: start.epoch, tasks: start.tasks.length }, 'term begins');
    const announced = await this.#announce(start.epoch, false);
    if (announced) {
      await this.#lead(start, term, signal);
    }
    this.ownEpoch = undefined;
    this.#waitUntil = this.timers.mono() + BACKOFF_MS;
    this.#signAt = this.timers.mono();
    this.log.info({ epoch: start.epoch }, 'term ended');
  }

  async #lead(start: TermStart, term: AbortController, signal: AbortSignal): Promise<void> {
    const release = (): void => {
      void this.#announce(start.epoch, true);
      this.#lose('the node stops');
    };
    signal.addEventListener('abort', release, { once: true });
    this.timers.every(this.settings.heartbeatMs, () => void this.#announce(start.epoch, false), term.signal);
    await this.runTerm(
      start,
      (reason) => {
        this.#lose(reason);
      },
      term.signal,
    );
    signal.removeEventListener('abort', release);
  }

  #lose(reason: string): void {
    if (this.#term !== undefined && !this.#term.signal.aborted) {
      this.log.warn({ epoch: this.ownEpoch, reason }, 'term lost');
      this.#term.abort();
    }
  }

  async #announce(epoch: number, released: boolean): Promise<boolean> {
    const record: LeaderRecord = { epoch, kind: JOB_RECORD.leader, node: this.settings.node, released };
    const askedAt = this.timers.mono();
    const askedWall = this.timers.now();
    const outcome = await this.writer.writePersistently(record, askedAt + this.settings.silenceMs);
    if (outcome !== WRITE_OUTCOME.stored) {
      return false;
    }
    this.#provenAt = askedAt;
    this.#provenWall = askedWall;
    return true;
  }

  async #beginTerm(signal: AbortSignal): Promise<TermStart | undefined> {
    const seen = this.#epochSeen;
    const loaded = await this.#loadRuns(signal);
    if (loaded === undefined || this.#isNewTerm(loaded.termOffset + 1, seen)) {
      return undefined;
    }
    const record = encodeTermRecord(this.settings.node, randomUUID());
    const call = { expectedEnd: loaded.end, limitMs: this.settings.limitMs, records: [record], signal };
    const appended = await this.runs.append(call);
    if (appended.isErr()) {
      const isOurs =
        appended.error.kind === STORE_FAILURE.lost &&
        (await this.#holdsOurs(loaded.end, record.value, signal));
      if (!isOurs) {
        this.log.info({ end: loaded.end, error: appended.error.message }, 'take-over failed');
        return undefined;
      }
    }
    return {
      ...loaded,
      lastSign: this.#lastSign(),
      epoch: loaded.end + 1,
      runsEnd: loaded.end + 1,
    };
  }

  #lastSign(): TermStart['lastSign'] {
    return { at: this.#signAt, released: this.#releasedAt !== undefined };
  }

  // Another node has begun a term since this one stood for the lead: that counts as a sign of life, once.
  #isNewTerm(epoch: number, seen: number): boolean {
    if (epoch <= seen) {
      return false;
    }
    this.log.info({ epoch, seen }, 'another node has just taken over');
    this.#epochSeen = Math.max(this.#epochSeen, epoch);
    this.#releasedAt = undefined;
    this.#leaderSeen ??= '';
    this.#signAt = this.timers.mono();
    return true;
  }

  async #holdsOurs(offset: number, value: string | undefined, signal: AbortSignal): Promise<boolean> {
    const page = await this.runs.read({ from: offset, limitMs: this.settings.limitMs, signal, waitMs: 0 });
    return page.isOk() && page.value.end === offset + 1 && page.value.records[0]?.value === value;
  }

  async #loadRuns(signal: AbortSignal): Promise<LoadedRuns | undefined> {
    const newest = await readNewest(this.runs, () => this.settings.limitMs, signal);
    // A change between two pages would make the append fail.
    if (newest.isErr() || newest.value.changed) {
      return undefined;
    }
    const loaded: LoadedRuns = { end: newest.value.end, otherRecords: [], tasks: [], termOffset: -1 };
    for (const record of newest.value.records) {
      this.#addRecord(record, loaded);
    }
    return loaded;
  }

  #addRecord(record: StoredRecord, loaded: LoadedRuns): void {
    if (record.key === TERM_KEY) {
      loaded.termOffset = record.offset;
      return;
    }
    const decoded = decodeTaskRecord(record.key, record.value ?? '');
    if (decoded.isErr()) {
      this.log.error({ error: decoded.error, key: record.key }, 'record skipped');
    } else if (decoded.value === undefined) {
      loaded.otherRecords.push(record);
    } else {
      loaded.tasks.push(decoded.value);
    }
  }
}
