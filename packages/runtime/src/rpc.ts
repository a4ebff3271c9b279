import type { AnyRouter } from '@trpc/server';
import type { Hono } from 'hono';
import { TRPCClientError } from '@trpc/client';
import { fetchRequestHandler } from '@trpc/server/adapters/fetch';
import { ResultAsync } from 'neverthrow';

/** Path under which a process serves its procedures. */
export const RPC_PATH = '/rpc';

/** Failure of a call to another process of the system. */
export interface RpcError {
  /** `answered` when the other process refused; `unreachable` when no answer came. */
  kind: 'answered' | 'unreachable';
  message: string;
}

/** Serves a router to callers that know the shared secret. */
export function mountRpc(app: Hono, router: AnyRouter, secret: string): void {
  app.use(`${RPC_PATH}/*`, async (c) => {
    if (c.req.header('authorization') !== `Bearer ${secret}`) {
      return c.json({ error: 'bad secret' }, 401);
    }
    return fetchRequestHandler({ endpoint: RPC_PATH, req: c.req.raw, router });
  });
}

/** Options of a client's link to the process at a `host:port` address. */
export function rpcLinkOptions(
  address: string,
  secret: string,
): { headers: { authorization: string }; url: string } {
  return {
    headers: { authorization: `Bearer ${secret}` },
    url: `http://${address}${RPC_PATH}`,
  };
}

/** Turns a call to another process into a result. */
export function rpcResult<T>(call: Promise<T>): ResultAsync<T, RpcError> {
  return ResultAsync.fromPromise(call, toRpcError);
}

function toRpcError(error: unknown): RpcError {
  if (error instanceof TRPCClientError) {
    return { kind: error.shape === undefined ? 'unreachable' : 'answered', message: error.message };
  }
  return { kind: 'unreachable', message: String(error) };
}
