import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { request } from 'node:http';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { FaultRoute } from '../src/fault-proxy';

const ANSWER = 'x'.repeat(1000);

// Requests that reached the upstream, by path: each case has its own, since a request that was frozen in
// one case passes when the fault ends, during the next case.
const served = new Map<string, number>();
let upstream: Server;
let route: FaultRoute;
let target: { host: string; port: number };
let port: number;

beforeAll(async () => {
  upstream = createServer((req, res) => {
    const path = req.url ?? '';
    served.set(path, (served.get(path) ?? 0) + 1);
    res.end(ANSWER);
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

// One route per case: a request that one case froze must not arrive during the next case.
beforeEach(async () => {
  route = new FaultRoute(target);
  port = await route.listenAnywhere();
});

afterEach(() => {
  route.close();
});

function get(path: string, timeoutMs: number): Promise<string> {
  return new Promise((resolve) => {
    const req = request({ agent: false, host: '127.0.0.1', path, port, timeout: timeoutMs }, (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => (text += chunk.toString()));
      res.on('end', () => {
        resolve(text);
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

// Guards against a proxy that injects nothing, which would make every fault test pass without a fault.
describe('FaultRoute', () => {
  it.each([
    { expected: ANSWER, faults: {}, reaches: true },
    { expected: 'error', faults: { cut: true }, reaches: false },
    { expected: 'timeout', faults: { freeze: true }, reaches: false },
    { expected: 'timeout', faults: { dropAnswers: true }, reaches: true },
    { expected: 'cut', faults: { cutAnswerAfterBytes: 500 }, reaches: true },
  ])('shows $faults', async ({ expected, faults, reaches }) => {
    const path = `/${Object.keys(faults).join('-')}`;
    route.setFaults(faults);
    expect(await get(path, 300)).toBe(expected);
    expect(served.get(path) ?? 0).toBe(reaches ? 1 : 0);
  });
});
