import type { JobRecord } from '@sequoiaquay/core/jobs';
import type { TimerService } from '@sequoiaquay/runtime';
import { decodeJobRecord, isCallerRecord } from '@sequoiaquay/core/jobs';
import type { WriteOutcome } from './job-writer';
import type { PeerOutcome, PeerRecord, StoreAnswer } from './ports/leader-link';
import { MAX_WAITING_BYTES, MAX_WAITING_RECORDS } from './peer-limits';
import { PEER_OUTCOME } from './ports/leader-link';
import { contentBytes } from './record-bytes';

/** What the intake needs of its node. */
export interface PeerIntakeContext {
  /** Returns the number of the node's appends in a row that were fast. */
  fastAppends: () => number;
  /** Returns whether the node leads a term and its heartbeats are stored. */
  leads: (epoch: number) => boolean;
  timers: TimerService;
  /** Writes a record, and retries until a monotonic time in ms. */
  write: (record: JobRecord, deadline: number) => Promise<WriteOutcome>;
}

/** Request of a node to store records. */
export interface PeerStoreRequest {
  epoch: number;
  /** Time for which the node waits for the answer, in ms. */
  limitMs: number;
  records: readonly PeerRecord[];
}

/** Part of the time limit of a call that is reserved for its answer, in ms. */
const ANSWER_RESERVE_MS = 50;

/** Time by which a record that no append contains is withdrawn before the answer, in ms. */
const WITHDRAWAL_RESERVE_MS = 20;

/** Takes the records of other nodes on the leader. */
export class PeerIntake {
  /** Records that are being written, by their keys. */
  readonly #writes = new Map<string, { outcome: Promise<WriteOutcome>; value: string }>();
  #waitingBytes = 0;
  #waitingRecords = 0;

  constructor(private readonly ctx: PeerIntakeContext) {}

  /** Number of records of other nodes that wait to be stored. */
  get waitingRecords(): number {
    return this.#waitingRecords;
  }

  /** Returns whether this node leads a term and its heartbeats are stored. */
  leads(epoch: number): boolean {
    return this.ctx.leads(epoch);
  }

  /** Stores the records of another node; returns undefined, with nothing stored, if this node does not lead. */
  async store(req: PeerStoreRequest): Promise<StoreAnswer | undefined> {
    if (!this.ctx.leads(req.epoch)) {
      return undefined;
    }
    const answer = new AbortController();
    const waitMs = Math.max(0, req.limitMs - ANSWER_RESERVE_MS);
    const timeout = this.ctx.timers.sleep(waitMs, answer.signal).then(() => PEER_OUTCOME.unknown);
    const deadline = this.ctx.timers.mono() + Math.max(0, waitMs - WITHDRAWAL_RESERVE_MS);
    const outcomes = await Promise.all(
      req.records.map((record) => Promise.race([this.#storeOne(record, deadline), timeout])),
    );
    answer.abort();
    return { fastAppends: this.ctx.fastAppends(), outcomes };
  }

  async #storeOne(sent: PeerRecord, deadline: number): Promise<PeerOutcome> {
    const record = decodeCallerRecord(sent);
    if (record === undefined) {
      return PEER_OUTCOME.rejected;
    }
    const known = this.#writes.get(sent.key);
    if (known?.value === sent.value) {
      return known.outcome;
    }
    const bytes = contentBytes([sent]);
    return this.#hasRoom(bytes) ? this.#write(sent, record, bytes, deadline) : PEER_OUTCOME.full;
  }

  #hasRoom(bytes: number): boolean {
    const isWithinBytes = this.#waitingRecords === 0 || this.#waitingBytes + bytes <= MAX_WAITING_BYTES;
    return this.#waitingRecords < MAX_WAITING_RECORDS && isWithinBytes;
  }

  // A node sends a record again whose outcome it did not learn; it is not written twice at a time.
  async #write(
    { key, value }: PeerRecord,
    record: JobRecord,
    bytes: number,
    deadline: number,
  ): Promise<WriteOutcome> {
    this.#waitingBytes += bytes;
    this.#waitingRecords += 1;
    const outcome = this.ctx.write(record, deadline);
    this.#writes.set(key, { outcome, value });
    try {
      return await outcome;
    } finally {
      this.#waitingBytes -= bytes;
      this.#waitingRecords -= 1;
      if (this.#writes.get(key)?.outcome === outcome) {
        this.#writes.delete(key);
      }
    }
  }
}

// Other records are of the leader or of the node that writes them.
function decodeCallerRecord({ key, value }: PeerRecord): JobRecord | undefined {
  const decoded = decodeJobRecord(key, value);
  const record = decoded.unwrapOr(undefined);
  return record !== undefined && isCallerRecord(record) ? record : undefined;
}
