import { createServer } from 'node:net';

// Below the range from which the system takes ports for connections and for listeners without a number:
// the port of a killed process must not go to another cluster before the process is started again.
const FIRST_PORT = 12_000;
const BLOCK_PORTS = 200;
const BLOCKS = 100;

const block = FIRST_PORT + (process.pid % BLOCKS) * BLOCK_PORTS;
let next = 0;

/** Finds free TCP ports of the loopback interface, from a block of this process. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > BLOCK_PORTS) {
      throw new Error(`fewer than ${count} ports are free from ${block}`);
    }
    const port = block + (next % BLOCK_PORTS);
    next += 1;
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
