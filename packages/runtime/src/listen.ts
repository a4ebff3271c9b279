import type { Hono } from 'hono';
import type { Server } from 'node:http';
import { serve } from '@hono/node-server';

/** Serves an application on an address of the form `host:port`. */
export function listen(app: Hono, address: string): Promise<Server> {
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
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}
