import type { Socket } from 'node:net';
import { createLogger } from 'bunyan';
import { Hono } from 'hono';
import { once } from 'node:events';
import { request } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { GuardedServer, GuardLimits, RequestBounds } from '../../src';
import { closeServer, GuardStats, listenGuarded, SystemTimerService } from '../../src';

const LIMITS: GuardLimits = {
  answerMs: 2000,
  bodyMs: 5000,
  bodyStallMs: 600,
  connections: 40,
  headerBytes: 16_384,
  heldBytes: 20_000_000,
  pipelinedRequests: 8,
};
const BOUNDS: RequestBounds = { bodyBytes: 262_144, headerBytes: 4096, headerMs: 3000, idleMs: 15_000 };

let guarded: GuardedServer;
let port = 0;
let abort: AbortController;
/** Lengths of the bodies that the application received. */
let received: number[];
let release: () => void;
/** Called with the length of each body that the application received. */
let onReceived: (length: number) => void;

/** Time that the application takes for a large body, in ms. */
const DECODE_MS = 20;

function block(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

afterEach(async () => {
  release();
  abort.abort();
  guarded.server.closeAllConnections();
  await closeServer(guarded.server);
});

async function start(limits: Partial<GuardLimits> = {}): Promise<void> {
  abort = new AbortController();
  received = [];
  onReceived = () => undefined;
  const held = new Promise<void>((resolve) => (release = resolve));
  const app = new Hono();
  app.post('*', async (c): Promise<Response> => {
    const { length } = await c.req.text();
    received.push(length);
    onReceived(length);
    if (c.req.path === '/held') {
      await held;
    }
    return c.text(`served ${c.req.path}`);
  });
  const timers = new SystemTimerService();
  const log = createLogger({ level: 'fatal', name: 'test' });
  guarded = await listenGuarded(app, '127.0.0.1:0', {
    bounds: () => BOUNDS,
    limits: { ...LIMITS, ...limits },
    signal: abort.signal,
    stats: new GuardStats('callers', timers, log),
    timers,
  });
  const address = guarded.server.address();
  port = typeof address === 'object' && address !== null ? address.port : 0;
}

function post(path: string, body: string): Promise<{ retryAfter: string | undefined; status: number }> {
  return new Promise((resolve, reject) => {
    const req = request({ agent: false, host: '127.0.0.1', method: 'POST', path, port }, (res) => {
      res.resume();
      res.on('end', () => {
        resolve({ retryAfter: res.headers['retry-after'], status: res.statusCode ?? 0 });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}

async function open(
  text: string,
): Promise<{ answer: () => string; closed: Promise<unknown>; socket: Socket }> {
  const socket = connect(port, '127.0.0.1');
  let answer = '';
  socket.on('data', (bytes) => (answer += bytes.toString()));
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  await once(socket, 'connect');
  socket.write(text);
  return { answer: () => answer, closed, socket };
}

function reasons(): Record<string, number> {
  const samples = guarded.guard.stats.samples();
  return Object.fromEntries<number>(samples.map(({ labels, value }) => [labels.reason ?? '', value]));
}

const HEAD = 'POST /q HTTP/1.1\r\nhost: h\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

// Guards against refusals of clients inside the limits, refused requests that run, and bytes that stay counted.
describe('ServerGuard', () => {
  it('serves sixteen bodies of the largest size at the same time', async () => {
    await start();
    const answers = await Promise.all(
      Array.from({ length: 16 }, () => post('/q', 'x'.repeat(BOUNDS.bodyBytes))),
    );
    expect(answers.map(({ status }) => status)).toEqual(Array(16).fill(200));
    expect(received).toEqual(Array(16).fill(BOUNDS.bodyBytes));
    expect(guarded.guard.heldBytes).toBe(0);
    expect(reasons()).toEqual({});
  });

  it('counts the bytes of a body, not its characters', async () => {
    await start();
    expect((await post('/q', 'ü'.repeat(BOUNDS.bodyBytes / 2 + 1))).status).toBe(413);
    expect(received).toEqual([]);
  });

  it.each<[name: string, text: string, status: number, reason: string]>([
    ['announced too large', `${HEAD}content-length: 262145\r\n\r\n`, 413, 'body-too-large'],
    ['sent too large', `${CHUNKED}40001\r\n${'x'.repeat(262_145)}`, 413, 'body-too-large'],
    ['that stalls', `${HEAD}content-length: 100\r\n\r\nx`, 408, 'body-slow'],
    ['after long headers', `${HEAD}x-a: ${'x'.repeat(5000)}\r\n\r\n`, 431, 'header-too-large'],
    [
      'after headers over the limit of the server',
      `${HEAD}x-a: ${'x'.repeat(20_000)}`,
      431,
      'header-too-large',
    ],
  ])('refuses a body %s and closes the connection', async (_, text, status, reason) => {
    await start();
    const client = await open(text);
    await client.closed;
    expect(client.answer()).toContain(`HTTP/1.1 ${status} `);
    expect(client.answer().toLowerCase()).toContain('connection: close');
    expect(reasons()).toEqual({ [reason]: 1 });
    expect(received).toEqual([]);
    expect(guarded.guard.heldBytes).toBe(0);
  });

  it('serves a body in chunks of one byte, and refuses those beyond eight at the same time', async () => {
    await start();
    const unfinished = `${CHUNKED}${'1\r\nx\r\n'.repeat(1100)}`;
    const clients = await Promise.all(Array.from({ length: 9 }, () => open(unfinished)));
    await expect.poll(reasons).toEqual({ 'small-chunks': 1 });
    const isRefused = (client: (typeof clients)[number]): boolean => client.answer().includes(' 503 ');
    await expect.poll(() => clients.filter(isRefused)).toHaveLength(1);
    const [served] = clients.filter((client) => !isRefused(client));
    served?.socket.write('0\r\n\r\n');
    await expect.poll(() => served?.answer()).toContain('served /q');
    expect(received).toHaveLength(1);
  });

  it('refuses a held body in place of a small request when the budget is used up', async () => {
    await start({ heldBytes: 95_000 });
    const held = await open(`${HEAD}content-length: 90000\r\n\r\n${'x'.repeat(80_000)}`);
    await expect.poll(() => guarded.guard.heldBytes).toBeGreaterThan(80_000);
    const statuses = await Promise.all(['/1', '/2', '/3'].map((path) => post(path, 'x'.repeat(4000))));
    expect(statuses.map(({ status }) => status)).toEqual([200, 200, 200]);
    await held.closed;
    expect(held.answer()).toContain('HTTP/1.1 503 ');
    expect(held.answer()).toContain('retry-after: 1');
  });

  it('refuses new requests while requests that are carried out use up the budget', async () => {
    await start({ heldBytes: 60_000 });
    const first = post('/held', 'x'.repeat(50_000));
    await expect.poll(() => received.length).toBe(1);
    expect(await post('/q', 'x'.repeat(8000))).toEqual({ retryAfter: '1', status: 503 });
    release();
    expect((await first).status).toBe(200);
    expect(received).toEqual([50_000]);
    expect(guarded.guard.heldBytes).toBe(0);
  });

  it('closes the oldest connection without a request for a further one', async () => {
    await start();
    const silent = await Promise.all(Array.from({ length: LIMITS.connections }, () => open('')));
    expect((await post('/q', 'x')).status).toBe(200);
    await Promise.race(silent.map(({ closed }) => closed));
    expect(reasons()).toEqual({ connections: 1 });
    for (const { socket } of silent) {
      socket.destroy();
    }
  });

  it('answers pipelined requests in their order, and closes a connection with too many', async () => {
    await start();
    const pipeline = (count: number): string =>
      Array.from(
        { length: count },
        (_, index) => `POST /${index} HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx`,
      ).join('');
    const client = await open(pipeline(LIMITS.pipelinedRequests));
    await expect.poll(() => client.answer()).toContain('served /7');
    expect([...client.answer().matchAll(/served \/(\d)/gu)].map(([, index]) => index).join('')).toBe(
      '01234567',
    );
    client.socket.destroy();
    received = [];
    const held = 'POST /held HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx';
    await (
      await open(held + pipeline(LIMITS.pipelinedRequests))
    ).closed;
    expect(received).toEqual([1]);
    expect(reasons()).toEqual({ pipelined: 1 });
  });

  it('lets a client continue whose body is inside the limit, and refuses another at once', async () => {
    await start();
    const expecting = (length: number): string =>
      `${HEAD}expect: 100-continue\r\ncontent-length: ${length}\r\n\r\n`;
    const small = await open(expecting(1));
    await expect.poll(() => small.answer()).toContain('HTTP/1.1 100 ');
    small.socket.write('x');
    await expect.poll(() => small.answer()).toContain('served /q');
    small.socket.destroy();
    const large = await open(expecting(262_145));
    await large.closed;
    expect(large.answer()).toMatch(/^HTTP\/1.1 413 /u);
  });

  it('lets requests in progress end when the server closes', async () => {
    await start();
    const first = post('/held', 'x');
    await expect.poll(() => received.length).toBe(1);
    const closed = closeServer(guarded.server);
    release();
    expect((await first).status).toBe(200);
    await closed;
    await expect.poll(() => guarded.guard.connectionCount).toBe(0);
  });

  // Guards against a crowd of large bodies that are decoded before any small request of another client.
  it('passes a small request on before large bodies that arrived earlier', async () => {
    await start();
    const crowd = 30;
    let small: Promise<unknown> = Promise.resolve();
    let largeBefore = 0;
    onReceived = (length): void => {
      if (length > 1) {
        largeBefore += 1;
        small = largeBefore === 1 ? post('/small', 'x').then(() => largeBefore) : small;
        block(DECODE_MS);
      }
    };
    const body = 'x'.repeat(200_000);
    const large = Array.from({ length: crowd }, () => post('/large', body));
    const statuses = (await Promise.all(large)).map(({ status }) => status);
    expect(statuses).toEqual(Array(crowd).fill(200));
    expect(await small).toBeLessThan(crowd / 2);
  });

  it('serves the large bodies that wait behind one whose client has left', async () => {
    await start();
    const head = `${HEAD}content-length: 200000\r\n\r\n`;
    const leaving: Socket[] = [];
    onReceived = (): void => {
      leaving[0]?.destroy();
      block(DECODE_MS);
    };
    const first = post('/large', 'x'.repeat(200_000));
    leaving.push((await open(`${head}${'x'.repeat(200_000)}`)).socket);
    const others = Array.from({ length: 4 }, () => post('/large', 'x'.repeat(200_000)));
    const statuses = (await Promise.all([first, ...others])).map(({ status }) => status);
    expect(statuses).toEqual(Array(5).fill(200));
    expect(guarded.guard.heldBytes).toBe(0);
  });
});
