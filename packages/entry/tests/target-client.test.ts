import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TargetClient } from '../src/target-client';

let server: Server;
let address: string;
let client: TargetClient;
let heads = 0;

beforeEach(async () => {
  heads = 0;
  server = createServer((req, res) => {
    heads += 1;
    req.resume();
    res.end('answer');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  address = `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
  client = new TargetClient({ bufferLimitBytes: 1024, connections: 2, connectTimeoutMs: 1000 });
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
  // Guards against a byte on the wire, and against a connection that stays unusable, after a late stop.
  it('writes nothing when the request is stopped directly before its first byte', async () => {
    for (let round = 0; round < 5; round += 1) {
      const stopped = await send(() => 'the deadline has passed');
      expect(stopped._unsafeUnwrapErr()).toEqual({ message: 'the deadline has passed', sent: false });
    }
    expect(heads).toBe(0);
    const sent = await send(() => undefined);
    expect(sent._unsafeUnwrap().body.toString()).toBe('answer');
  });

  it('serves many requests at once over few connections, of which some are stopped', async () => {
    const results = await Promise.all(
      Array.from({ length: 40 }, (_, index) => send(() => (index % 3 === 0 ? 'stopped' : undefined))),
    );
    expect(results.filter((result) => result.isOk())).toHaveLength(26);
    expect(heads).toBe(26);
  });
});
