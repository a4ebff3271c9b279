import { createServer } from 'node:net';

/** Finds free TCP ports of the loopback interface. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map(({ port }) => port);
  await Promise.all(servers.map(({ close }) => close()));
  return ports;
}

function openServer(): Promise<{ close: () => Promise<void>; port: number }> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      resolve({
        close: () =>
          new Promise((closed) => {
            server.close(() => {
              closed();
            });
          }),
        port,
      });
    });
  });
}
