import type { TRPCClient } from '@trpc/client';
import type { ResultAsync } from 'neverthrow';
import { createTimeoutSignal, rpcLinkOptions } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import { ResultAsync as Async, err, ok } from 'neverthrow';
import type { PeerRouter } from './peer-server';
import type { LeaderCallError, LeaderLink, LeaderTarget, StoreAnswer, StoreCall } from './ports/leader-link';
import { LEADER_FAILURE } from './ports/leader-link';

/** Statuses with which the server refuses a call, before it carries it out, because it has too many. */
const BUSY_STATUSES: readonly number[] = [429, 503];

/** Statuses with which the server refuses a call before it carries it out. */
const REFUSAL_STATUSES: readonly number[] = [401, 404, 408, 413, 431, ...BUSY_STATUSES];

/** Codes of tRPC for calls that were refused before they were carried out. */
const REFUSAL_CODES: readonly string[] = ['BAD_REQUEST', 'METHOD_NOT_SUPPORTED', 'NOT_FOUND', 'PARSE_ERROR'];

/** Codes of connections that were not opened, so that nothing was sent. */
const UNSENT_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Answer of the server that refuses a call before it carries it out. */
class RefusalError extends Error {
  constructor(readonly status: number) {
    super(`status ${status}`);
  }
}

/** Calls the leader over tRPC. */
export class RpcLeaderLink implements LeaderLink {
  #client: TRPCClient<PeerRouter> | undefined;
  #clientTarget: LeaderTarget | undefined;

  confirm(target: LeaderTarget, limitMs: number, signal: AbortSignal): ResultAsync<boolean, LeaderCallError> {
    const options = { signal: createTimeoutSignal(signal, limitMs) };
    const call = this.#clientFor(target).status.query({ epoch: target.epoch }, options);
    return Async.fromPromise(call, toLeaderCallError).map(({ leads }) => leads);
  }

  store({ limitMs, records, signal, target }: StoreCall): ResultAsync<StoreAnswer, LeaderCallError> {
    const options = { signal: createTimeoutSignal(signal, limitMs) };
    const input = { epoch: target.epoch, limitMs, records: [...records] };
    const call = this.#clientFor(target).store.mutate(input, options);
    return Async.fromPromise(call, toLeaderCallError).andThen((answer) =>
      answer === null ? err(notLeadingError(target)) : ok(answer),
    );
  }

  // One client is kept, since a node calls only the newest leader.
  #clientFor(target: LeaderTarget): TRPCClient<PeerRouter> {
    const { address, secret } = target;
    const isKnown = this.#clientTarget?.address === address && this.#clientTarget.secret === secret;
    if (this.#client === undefined || !isKnown) {
      const options = rpcLinkOptions(address, secret);
      const fetch: typeof options.fetch = async (url, init) => {
        const res = await options.fetch(url, init);
        if (REFUSAL_STATUSES.includes(res.status)) {
          await res.body?.cancel();
          throw new RefusalError(res.status);
        }
        return res;
      };
      this.#client = createTRPCClient<PeerRouter>({ links: [httpLink({ ...options, fetch })] });
      this.#clientTarget = target;
    }
    return this.#client;
  }
}

function notLeadingError({ epoch }: LeaderTarget): LeaderCallError {
  return { kind: LEADER_FAILURE.notLeading, message: `the node does not lead term ${epoch}` };
}

function toLeaderCallError(error: unknown): LeaderCallError {
  const causes = causesOf(error);
  const refusal = causes.find((cause) => cause instanceof RefusalError);
  const [message = ''] = causes.slice(-1).map((cause) => (cause instanceof Error ? cause.message : ''));
  if (refusal !== undefined) {
    const isBusy = BUSY_STATUSES.includes(refusal.status);
    return { kind: isBusy ? LEADER_FAILURE.busy : LEADER_FAILURE.refused, message };
  }
  const isRefused = REFUSAL_CODES.includes(rpcCodeOf(error)) || causes.some(isUnsent);
  return { kind: isRefused ? LEADER_FAILURE.refused : LEADER_FAILURE.lost, message };
}

function rpcCodeOf(error: unknown): string {
  const data: unknown = error instanceof TRPCClientError ? error.data : undefined;
  return typeof data === 'object' && data !== null && 'code' in data ? String(data.code) : '';
}

function isUnsent(error: unknown): boolean {
  return error instanceof Error && 'code' in error && UNSENT_CODES.includes(String(error.code));
}

// The error first, then its causes.
function causesOf(error: unknown): unknown[] {
  const causes: unknown[] = [];
  for (let cause = error; cause instanceof Error && !causes.includes(cause); cause = cause.cause) {
    causes.push(cause);
  }
  return causes;
}
