import type { Env, Hono } from 'hono';
import type { Server } from 'node:http';
import { serve } from '@hono/node-server';

/** Interval at which a closing server closes its idle connections, in ms. */
const IDLE_CHECK_INTERVAL_MS = 100;

/**
 * Serves an application at `host:port`; resolves when the server listens and rejects if it cannot.
 *
 * @param idleLimitMs Returns the time for which callers may leave a connection idle, in ms; undefined while it
 *   is not known.
 */
export function listen<E extends Env>(
  app: Hono<E>,
  address: string,
  idleLimitMs: () => number | undefined = () => undefined,
): Promise<Server> {
  const { hostname, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname, port }, () => {
      resolve(server);
    }) as Server;
    server.once('error', reject);
    // The server reads its limit at the end of each response, and adds a second to it.
    server.on('request', () => {
      server.keepAliveTimeout = idleLimitMs() ?? server.keepAliveTimeout;
    });
  });
}

/** Splits an address `host:port`. */
export function splitAddress(address: string): { hostname: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { hostname: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Stops accepting connections and resolves when all open requests have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // A keep-alive connection that becomes idle after its last response would keep the server open.
    const idleCheck = setInterval(() => {
      server.closeIdleConnections();
    }, IDLE_CHECK_INTERVAL_MS);
    server.close(() => {
      clearInterval(idleCheck);
      resolve();
    });
    server.closeIdleConnections();
  });
}
