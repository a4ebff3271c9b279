import type { RpcError, TimerService } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import { toRpcResult, createTimeoutSignal } from '@sequoiaquay/runtime';
import { okAsync } from 'neverthrow';
import type { LiveEntry } from './live-members';
import type { PeerClients } from './peer-clients';
import type {
  AcquireAnswer,
  AcquireMessage,
  ReleaseMessage,
  RenewMessage,
  ReportMessage,
} from './queue-messages';
import type { QueueService } from './queue-service';

/** Time beyond the poll after which an owner counts as not answering, in ms. */
const ANSWER_MS = 500;

/** Time for which an owner that did not answer is not asked again, in ms. */
const SILENCE_MS = 1000;

/** Calls to the owner of a queue, which may be this entry itself. */
export class OwnerLink {
  readonly #silentUntil = new Map<string, number>();

  constructor(
    private readonly self: string,
    private readonly local: QueueService,
    private readonly peers: PeerClients,
    private readonly timers: TimerService,
  ) {}

  /** Whether an owner has failed to answer a moment ago. */
  isSilent(owner: LiveEntry): boolean {
    return this.timers.mono() < (this.#silentUntil.get(owner.name) ?? 0);
  }

  /** Remembers that an owner doesn't answer. */
  markSilent(owner: LiveEntry): void {
    this.#silentUntil.set(owner.name, this.timers.mono() + SILENCE_MS);
  }

  /** Asks for a slot. */
  acquire(owner: LiveEntry, msg: AcquireMessage, signal: AbortSignal): ResultAsync<AcquireAnswer, RpcError> {
    if (owner.name === this.self) {
      return toRpcResult(this.local.acquire(msg, signal));
    }
    const limit = createTimeoutSignal(signal, msg.waitMs + ANSWER_MS);
    return toRpcResult(this.peers.at(owner.address).queue.acquire.mutate(msg, { signal: limit }));
  }

  /** Frees a place or a grant. */
  release(owner: LiveEntry, msg: ReleaseMessage): ResultAsync<void, RpcError> {
    if (owner.name === this.self) {
      this.local.release(msg, 'local');
      return okAsync(undefined);
    }
    const options = { signal: AbortSignal.timeout(ANSWER_MS) };
    return toRpcResult(this.peers.at(owner.address).queue.release.mutate(msg, options));
  }

  /** Keeps the run time of work that another entry granted, for the time when this entry owns the queue. */
  learn(owner: LiveEntry | undefined, pool: string, job: string, runMs: number): void {
    if (owner?.name !== this.self) {
      this.local.learn(pool, job, runMs);
    }
  }

  /** Extends grants. */
  renew(owner: LiveEntry, msg: RenewMessage): ResultAsync<{ leaseMs: number; unknown: string[] }, RpcError> {
    if (owner.name === this.self) {
      return okAsync(this.local.renew(msg));
    }
    const options = { signal: AbortSignal.timeout(ANSWER_MS) };
    return toRpcResult(this.peers.at(owner.address).queue.renew.mutate(msg, options));
  }

  /** Reports grants in use. */
  report(owner: LiveEntry, msg: ReportMessage): ResultAsync<void, RpcError> {
    if (owner.name === this.self) {
      this.local.report(msg);
      return okAsync(undefined);
    }
    const options = { signal: AbortSignal.timeout(ANSWER_MS) };
    return toRpcResult(this.peers.at(owner.address).queue.report.mutate(msg, options));
  }
}
