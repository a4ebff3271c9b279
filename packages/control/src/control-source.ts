import type { FleetSnapshot } from '@sequoiaquay/core';
import type { FleetSource, LogPage, PlatformError } from '@sequoiaquay/platform';
import type { HlcClock, RpcError } from '@sequoiaquay/runtime';
import type { ResultAsync } from 'neverthrow';
import { createTimeoutSignal, rpcLinkOptions, toRpcResult } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import { errAsync, okAsync } from 'neverthrow';
import { Maybe } from 'true-myth';
import type { ControlRouter } from './control-router';

/** Time that a call may take beyond its long poll, in ms; then a paused control process counts as failed. */
const CALL_MARGIN_MS = 1000;

/** Reads the fleet state and the records of the `fleet` stream from another control process. */
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
    return toRpcResult(this.#client.fleetSnapshot.query(undefined, { signal: withTimeout(signal, 0) }))
      .mapErr(toPlatformError)
      .andThen((answer) =>
        answer.caughtUp
          ? okAsync<FleetSnapshot, PlatformError>(answer.state)
          : errAsync(toPlatformError({ kind: 'answered', message: `${this.name} has no state yet` })),
      );
  }

  read(from: number, waitMs: number, signal: AbortSignal): ResultAsync<LogPage, PlatformError> {
    return toRpcResult(
      this.#client.fleetRead.query({ from, waitMs }, { signal: withTimeout(signal, waitMs) }),
    )
      .mapErr(toPlatformError)
      .andThen((answer) => {
        return answer.page === null
          ? errAsync(toTrimmedError(answer.trimmedBelow ?? 0))
          : okAsync<LogPage, PlatformError>({
              ...answer.page,
              sourceAgeMs: answer.ageMs ?? Number.POSITIVE_INFINITY,
            });
      });
  }
}

function withTimeout(signal: AbortSignal, waitMs: number): AbortSignal {
  return createTimeoutSignal(signal, waitMs + CALL_MARGIN_MS);
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

function toTrimmedError(oldest: number): PlatformError {
  return {
    cause: Maybe.nothing(),
    kind: 'trimmed',
    message: `offset is below ${oldest}, the oldest record that the control process relays`,
    oldest: Maybe.just(oldest),
    status: Maybe.nothing(),
  };
}
