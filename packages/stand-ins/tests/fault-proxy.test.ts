import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { request } from 'node:http';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { FaultRoute } from '../src/fault-proxy';
import { NarrowLink } from '../src/narrow-link';

const RESPONSE_BODY = 'x'.repeat(1000);

// Requests that reached the upstream, by path. Each case has its own path, because a request that was frozen in
// one case is forwarded when the fault ends, during the next case.
const requestCounts = new Map<string, number>();
let upstream: Server;
let route: FaultRoute;
let target: { host: string; port: number };
let port: number;

beforeAll(async () => {
  upstream = createServer((req, res) => {
    const path = req.url ?? '';
    requestCounts.set(path, (requestCounts.get(path) ?? 0) + 1);
    res.end(RESPONSE_BODY);
  });
  await new Promise<void>((resolve) => {
    upstream.listen(0, '127.0.0.1', resolve);
  });
  const address = upstream.address();
  target = {
    host: '127.0.0.1',
    port: typeof address === 'object' && address !== null ? address.port : 0,
  };
});

afterAll(() => {
  upstream.close();
  upstream.closeAllConnections();
});

// Each case has its own route, so that a request frozen in one case does not arrive during the next one.
beforeEach(async () => {
  route = new FaultRoute(target);
  port = await route.listenOnFreePort();
});

afterEach(() => {
  route.close();
});

function requestPath(path: string, timeoutMs: number): Promise<string> {
  return new Promise((resolve) => {
    const req = request({ agent: false, host: '127.0.0.1', path, port, timeout: timeoutMs }, (res) => {
      let body = '';
      res.on('data', (chunk: Buffer) => (body += chunk.toString()));
      res.on('end', () => {
        resolve(body);
      });
      res.on('error', () => {
        resolve('cut');
      });
    });
    req.on('timeout', () => {
      req.destroy();
      resolve('timeout');
    });
    req.on('error', () => {
      resolve('error');
    });
    req.end();
  });
}

// Guards against a proxy that injects no faults: every fault test would then pass without a fault.
describe('FaultRoute', () => {
  it.each([
    { expected: RESPONSE_BODY, faults: {}, reachesUpstream: true },
    { expected: 'error', faults: { cut: true }, reachesUpstream: false },
    { expected: 'timeout', faults: { freeze: true }, reachesUpstream: false },
    { expected: 'timeout', faults: { dropAnswers: true }, reachesUpstream: true },
    { expected: 'cut', faults: { cutAnswerAfterBytes: 500 }, reachesUpstream: true },
  ])('injects the faults $faults', async ({ expected, faults, reachesUpstream }) => {
    const path = `/${Object.keys(faults).join('-')}`;
    route.setFaults(faults);
    expect(await requestPath(path, 300)).toBe(expected);
    expect(requestCounts.get(path) ?? 0).toBe(reachesUpstream ? 1 : 0);
  });

  // Guards against a limit for each connection, which a node would exceed by opening several.
  it('shares the rate of a link between the connections of all its routes', async () => {
    route.close();
    const link = new NarrowLink(undefined);
    route = new FaultRoute(target, link);
    port = await route.listenOnFreePort();
    const readAll = async (): Promise<number> => {
      const startedAt = performance.now();
      const paths = Array.from({ length: 10 }, (_, index) => requestPath(`/shared-${index}`, 5000));
      expect(new Set(await Promise.all(paths))).toEqual(new Set([RESPONSE_BODY]));
      return performance.now() - startedAt;
    };
    const unlimitedMs = await readAll();
    link.bytesPerS = 20_000;
    // Ten responses of 1,000 bytes and their headers.
    const limitedMs = await readAll();
    expect(limitedMs).toBeGreaterThan(450);
    expect(unlimitedMs).toBeLessThan(limitedMs);
  });
});
