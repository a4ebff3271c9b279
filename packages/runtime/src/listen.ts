import type { Env, Hono } from 'hono';
import type { Server } from 'node:http';
import { serve } from '@hono/node-server';

/** Period at which idle connections of a closing server are closed, in ms. */
const IDLE_CHECK_MS = 100;

/** Serves an application on an address of the form `host:port`. */
export function listen<E extends Env>(app: Hono<E>, address: string): Promise<Server> {
  const colon = address.lastIndexOf(':');
  const hostname = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname, port }, () => {
      resolve(server);
    }) as Server;
    server.once('error', reject);
  });
}

/** Stops accepting connections and waits until the open requests have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // A connection kept alive after its last answer would hold the server open.
    const idle = setInterval(() => {
      server.closeIdleConnections();
    }, IDLE_CHECK_MS);
    server.close(() => {
      clearInterval(idle);
      resolve();
    });
    server.closeIdleConnections();
  });
}
