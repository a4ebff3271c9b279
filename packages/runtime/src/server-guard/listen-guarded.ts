import type { Env, Hono } from 'hono';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { createServer } from 'node:http';
import type { TimerService } from '../timer-service';
import type { GuardLimits, RequestBounds } from './guard-limits';
import type { GuardStats } from './guard-stats';
import { splitAddress } from '../listen';
import { CHECK_INTERVAL_MS, ServerGuard } from './server-guard';

/**
 * Node.js's own limits are above those of the guard by this factor, so that the guard chooses whom to refuse, and
 * they still bound the process if the guard's accounting were wrong.
 */
const BACKSTOP_FACTOR = 1.25;

/** Options of a guarded server. */
export interface GuardOptions {
  bounds: () => RequestBounds;
  limits: GuardLimits;
  /** Ends the checks of the deadlines. */
  signal: AbortSignal;
  stats: GuardStats;
  timers: TimerService;
}

/** Server, and the guard that keeps what its clients use within limits. */
export interface GuardedServer {
  guard: ServerGuard;
  server: Server;
}

/** Serves an application at `host:port` within limits; rejects if the server can't listen. */
export function listenGuarded<E extends Env>(
  app: Hono<E>,
  address: string,
  options: GuardOptions,
): Promise<GuardedServer> {
  const { bounds, limits, signal, stats, timers } = options;
  const server = createServer({
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    headersTimeout: bounds().headerMs,
    keepAliveTimeout: bounds().idleMs,
    maxHeaderSize: limits.headerBytes,
    requestTimeout: Math.max(limits.bodyMs, bounds().headerMs) * BACKSTOP_FACTOR,
  });
  server.maxConnections = Math.ceil(limits.connections * BACKSTOP_FACTOR);
  const listener = getRequestListener(app.fetch);
  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    void listener(req, res);
  };
  const guard = new ServerGuard(server, handle, limits, bounds, stats, timers, signal);
  const { hostname, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, hostname, () => {
      resolve({ guard, server });
    });
  });
}
