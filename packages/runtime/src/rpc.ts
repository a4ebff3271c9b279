import type { AnyRouter } from '@trpc/server';
import type { Hono, MiddlewareHandler } from 'hono';
import { TRPCClientError } from '@trpc/client';
import { fetchRequestHandler } from '@trpc/server/adapters/fetch';
import { ResultAsync } from 'neverthrow';
import type { HlcClock } from './hlc';
import { formatHlc, HLC_HEADER, parseHlc } from './hlc';

/** Path under which a process serves its tRPC procedures. */
export const RPC_PATH = '/rpc';

/** Error of a call to another process of the system. */
export interface RpcError {
  /** `answered` if the other process responded with an error; `unreachable` if there was no response. */
  kind: 'answered' | 'unreachable';
  message: string;
}

/**
 * Serves a router to callers that present the shared secret. If a clock is given, it is synchronised with
 * the caller's clock through the request and response headers. A secret that changes is given as a function;
 * while it returns undefined, all calls are refused. `guards` run after the secret was checked, and before the
 * body is read.
 */
export function mountRpc(
  app: Hono,
  router: AnyRouter,
  secret: string | (() => string | undefined),
  clock?: HlcClock,
  guards: readonly MiddlewareHandler[] = [],
): void {
  const currentSecret = typeof secret === 'string' ? (): string => secret : secret;
  const path = `${RPC_PATH}/*`;
  app.use(path, async (c, next) => {
    const expected = currentSecret();
    if (expected === undefined || c.req.header('authorization') !== `Bearer ${expected}`) {
      return c.json({ error: 'bad secret' }, 401);
    }
    await next();
    return undefined;
  });
  for (const guard of guards) {
    app.use(path, guard);
  }
  app.use(path, async (c) => {
    observeClockHeader(clock, c.req.header(HLC_HEADER));
    const res = await fetchRequestHandler({ endpoint: RPC_PATH, req: c.req.raw, router });
    if (clock !== undefined) {
      res.headers.set(HLC_HEADER, formatHlc(clock.stamp()));
    }
    return res;
  });
}

/** Options of the tRPC link from a client to another process. */
export interface RpcLinkOptions {
  fetch: (url: string | URL | Request, options?: RequestInit) => Promise<Response>;
  headers: () => Record<string, string>;
  url: string;
}

/** Returns the tRPC link options for the process at a `host:port` address. */
export function rpcLinkOptions(address: string, secret: string, clock?: HlcClock): RpcLinkOptions {
  return {
    fetch: async (url, options) => {
      const res = await fetch(url, options);
      observeClockHeader(clock, res.headers.get(HLC_HEADER));
      return res;
    },
    headers: () => ({
      authorization: `Bearer ${secret}`,
      ...(clock === undefined ? {} : { [HLC_HEADER]: formatHlc(clock.stamp()) }),
    }),
    url: `http://${address}${RPC_PATH}`,
  };
}

function observeClockHeader(clock: HlcClock | undefined, header: string | null | undefined): void {
  const remote = parseHlc(header);
  if (remote !== undefined) {
    clock?.observe(remote);
  }
}

/** Converts the promise of a tRPC call into a result. */
export function toRpcResult<T>(call: Promise<T>): ResultAsync<T, RpcError> {
  return ResultAsync.fromPromise(call, toRpcError);
}

function toRpcError(error: unknown): RpcError {
  if (error instanceof TRPCClientError) {
    return { kind: error.shape === undefined ? 'unreachable' : 'answered', message: error.message };
  }
  return { kind: 'unreachable', message: String(error) };
}
