import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TargetClient } from '../src/target-client';

let server: Server;
let address: string;
let client: TargetClient;
let receivedCount = 0;

beforeEach(async () => {
  receivedCount = 0;
  server = createServer((req, res) => {
    receivedCount += 1;
    req.resume();
    res.end('answer');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  address = `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
  client = new TargetClient({ bufferLimitBytes: 1024, maxConnections: 2, connectTimeoutMs: 1000 });
});

afterEach(async () => {
  await client.close();
  server.close();
});

function send(beforeSend: () => string | undefined): ReturnType<TargetClient['send']> {
  const signal = AbortSignal.timeout(3000);
  return client.send({
    address,
    beforeSend,
    body: Buffer.from('body'),
    contentType: 'text/plain',
    id: 'request',
    job: 'job',
    signal,
    startSignal: signal,
  });
}

describe('TargetClient', () => {
  // Guards against a late stop that still sends a byte or leaves the connection unusable.
  it('writes nothing when the request is stopped immediately before its first byte', async () => {
    for (let round = 0; round < 5; round += 1) {
      const stopped = await send(() => 'the deadline has passed');
      expect(stopped._unsafeUnwrapErr()).toEqual({ message: 'the deadline has passed', isSent: false });
    }
    expect(receivedCount).toBe(0);
    const sent = await send(() => undefined);
    expect(sent._unsafeUnwrap().body.toString()).toBe('answer');
  });

  it('handles many concurrent requests over few connections when some requests are stopped', async () => {
    const results = await Promise.all(
      Array.from({ length: 40 }, (_, index) => send(() => (index % 3 === 0 ? 'stopped' : undefined))),
    );
    expect(results.filter((result) => result.isOk())).toHaveLength(26);
    expect(receivedCount).toBe(26);
  });
});
