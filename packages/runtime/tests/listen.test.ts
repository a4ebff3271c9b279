import { Hono } from 'hono';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { closeServer, listen } from '../src';

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** Idle limit of the operators, and a pause below it that is longer than the default of the HTTP server, in ms. */
const IDLE_LIMIT_MS = 7000;
const PAUSE_MS = 6600;

it('answers a request on a connection that was idle for less than the limit of the operators', async () => {
  const app = new Hono();
  app.get('/', (c) => c.text('answered'));
  const server = await listen(app, '127.0.0.1:0', () => IDLE_LIMIT_MS);
  const address = server.address();
  if (address === null || typeof address === 'string') {
    throw new Error('the server has no port');
  }
  const socket = connect(address.port, '127.0.0.1');
  let received = '';
  socket.on('data', (bytes) => (received += bytes.toString()));
  await once(socket, 'connect');
  socket.write(REQUEST);
  await delay(PAUSE_MS);
  expect(received).toContain('answered');
  received = '';
  socket.write(REQUEST);
  await expect.poll(() => received, { timeout: 1000 }).toContain('answered');
  socket.destroy();
  await closeServer(server);
}, 12_000);
