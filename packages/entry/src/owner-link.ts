import type { RpcError, TimerService } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import { createTimeoutSignal, toRpcResult } from '@sequoiaquay/runtime';
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

/** Timeout of a call to an owner, in addition to the wait of a poll, in ms. */
const ANSWER_TIMEOUT_MS = 500;

/** Time for which an unresponsive owner is not called again, in ms. */
const UNRESPONSIVE_BACKOFF_MS = 1000;

/** Calls the owner of a queue; calls the local queue service if this entry is the owner. */
export class OwnerLink {
  readonly #unresponsiveUntil = new Map<string, number>();

  constructor(
    private readonly self: string,
    private readonly local: QueueService,
    private readonly peers: PeerClients,
    private readonly timers: TimerService,
  ) {}

  /** Whether a call to the owner has recently got no answer. */
  isUnresponsive(owner: LiveEntry): boolean {
    return this.timers.mono() < (this.#unresponsiveUntil.get(owner.name) ?? 0);
  }

  /** Marks an owner as unresponsive for the backoff time. */
  markUnresponsive(owner: LiveEntry): void {
    this.#unresponsiveUntil.set(owner.name, this.timers.mono() + UNRESPONSIVE_BACKOFF_MS);
  }

  /** Requests a slot. */
  acquire(owner: LiveEntry, msg: AcquireMessage, signal: AbortSignal): ResultAsync<AcquireAnswer, RpcError> {
    if (owner.name === this.self) {
      return toRpcResult(this.local.acquire(msg, signal));
    }
    const timeout = createTimeoutSignal(signal, msg.waitMs + ANSWER_TIMEOUT_MS);
    return toRpcResult(this.peers.getClient(owner.address).queue.acquire.mutate(msg, { signal: timeout }));
  }

  /** Cancels a waiting request or releases a grant. */
  release(owner: LiveEntry, msg: ReleaseMessage): ResultAsync<void, RpcError> {
    if (owner.name === this.self) {
      this.local.release(msg, 'local');
      return okAsync(undefined);
    }
    const options = { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) };
    return toRpcResult(this.peers.getClient(owner.address).queue.release.mutate(msg, options));
  }

  /** Records the run time under another owner's grant, for when this entry becomes the owner of the queue. */
  recordRunTime(owner: LiveEntry | undefined, pool: string, job: string, runMs: number): void {
    if (owner?.name !== this.self) {
      this.local.recordRunTime(pool, job, runMs);
    }
  }

  /** Renews the leases of grants. */
  renew(owner: LiveEntry, msg: RenewMessage): ResultAsync<{ leaseMs: number; unknown: string[] }, RpcError> {
    if (owner.name === this.self) {
      return okAsync(this.local.renew(msg));
    }
    const options = { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) };
    return toRpcResult(this.peers.getClient(owner.address).queue.renew.mutate(msg, options));
  }

  /** Reports grants in use. */
  report(owner: LiveEntry, msg: ReportMessage): ResultAsync<void, RpcError> {
    if (owner.name === this.self) {
      this.local.report(msg);
      return okAsync(undefined);
    }
    const options = { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) };
    return toRpcResult(this.peers.getClient(owner.address).queue.report.mutate(msg, options));
  }
}
