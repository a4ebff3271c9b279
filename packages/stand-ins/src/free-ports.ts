import { createServer } from 'node:net';

/** Finds distinct free TCP ports on the loopback interface. All are held open until the last one is found. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
  const ports = servers.map(({ port }) => port);
  await Promise.all(servers.map(({ close }) => close()));
  return ports;
}

function listenOnFreePort(): Promise<{ close: () => Promise<void>; port: number }> {
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
