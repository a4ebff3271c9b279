import type { Server } from 'node:net';
import { createServer } from 'node:net';

// Below the ephemeral port range of the system: the port of a killed process must not be assigned to another
// cluster before the process is restarted.
const MIN_PORT = 12_000;
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = 100;

// Other test processes, also of other test runs on the machine, use other blocks: each process keeps the first
// port of its block open until it ends.
const firstPort = reserveBlock();
let nextOffset = 1;

/** Returns free TCP ports of the loopback interface, from the block of ports reserved for this process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const first = await firstPort;
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > PORTS_PER_BLOCK) {
      throw new Error(`fewer than ${count} ports are free in the block that starts at ${first}`);
    }
    const port = first + (nextOffset % PORTS_PER_BLOCK);
    nextOffset += 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

async function reserveBlock(): Promise<number> {
  for (let tries = 0; tries < BLOCK_COUNT; tries += 1) {
    const port = MIN_PORT + ((process.pid + tries) % BLOCK_COUNT) * PORTS_PER_BLOCK;
    const reservation = await tryListen(port);
    if (reservation !== undefined) {
      reservation.unref();
      return port;
    }
  }
  throw new Error(`all ${BLOCK_COUNT} blocks of ports from ${MIN_PORT} on are in use`);
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) {
    return false;
  }
  return new Promise((resolve) => {
    server.close(() => {
      resolve(true);
    });
  });
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}
