import type { FleetSnapshot } from '@sequoiaquay/core';
import type { FleetSource, LogPage, PlatformError } from '@sequoiaquay/platform';
import type { HlcClock, RpcError } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import { rpcLinkOptions, toRpcResult, createTimeoutSignal } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import { errAsync, okAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { ControlRouter } from './control-router';

/** Time that a call may take beyond its long poll, in ms; a paused control is left after it. */
const CALL_TIMEOUT_MS = 1000;

/** Fleet records relayed by a control process. */
export class ControlSource implements FleetSource {
  readonly #client;
  readonly name: string;

  constructor(address: string, secret: string, clock?: HlcClock) {
    this.name = address;
    this.#client = createTRPCClient<ControlRouter>({
      links: [httpLink(rpcLinkOptions(address, secret, clock))],
    });
  }

  bootstrap(signal: AbortSignal): ResultAsync<FleetSnapshot | undefined, PlatformError> {
    return toRpcResult(this.#client.fleetSnapshot.query(undefined, { signal: limit(signal, 0) }))
      .mapErr(toPlatformError)
      .andThen((answer) =>
        answer.caughtUp
          ? okAsync<FleetSnapshot, PlatformError>(answer.state)
          : errAsync(toPlatformError({ kind: 'answered', message: `${this.name} has no state yet` })),
      );
  }

  read(from: number, waitMs: number, signal: AbortSignal): ResultAsync<LogPage, PlatformError> {
    return toRpcResult(this.#client.fleetRead.query({ from, waitMs }, { signal: limit(signal, waitMs) }))
      .mapErr(toPlatformError)
      .andThen((answer) => {
        return answer.page === null
          ? errAsync(trimmed(answer.trimmedBelow ?? 0))
          : okAsync<LogPage, PlatformError>({
              ...answer.page,
              sourceAgeMs: answer.ageMs ?? Number.POSITIVE_INFINITY,
            });
      });
  }
}

function limit(signal: AbortSignal, waitMs: number): AbortSignal {
  return createTimeoutSignal(signal, waitMs + CALL_TIMEOUT_MS);
}

function toPlatformError(error: RpcError): PlatformError {
  return {
    cause: Maybe.nothing(),
    kind: 'lost',
    message: error.message,
    oldest: Maybe.nothing(),
    status: Maybe.nothing(),
  };
}

function trimmed(oldest: number): PlatformError {
  return {
    cause: Maybe.nothing(),
    kind: 'trimmed',
    message: 'below the relayed records',
    oldest: Maybe.just(oldest),
    status: Maybe.nothing(),
  };
}
