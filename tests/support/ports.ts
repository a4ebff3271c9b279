import { createServer } from 'node:net';

// Below the ephemeral port range of the system: the port of a killed process must not be assigned to another
// cluster before the process is restarted.
const MIN_PORT = 12_000;
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = 100;

const firstPort = MIN_PORT + (process.pid % BLOCK_COUNT) * PORTS_PER_BLOCK;
let nextOffset = 0;

/** Returns free TCP ports of the loopback interface, from the block of ports reserved for this process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > PORTS_PER_BLOCK) {
      throw new Error(`fewer than ${count} ports are free in the block that starts at ${firstPort}`);
    }
    const port = firstPort + (nextOffset % PORTS_PER_BLOCK);
    nextOffset += 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
