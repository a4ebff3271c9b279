import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { StoreStandIn } from '../src/store-stand-in';

const TOPIC = 'keyed.jobs';
const HISTORY_MS = 150;

let store: StoreStandIn;

beforeEach(async () => {
  store = await StoreStandIn.start({ historyMs: HISTORY_MS });
});

afterEach(() => {
  store.stop();
});

function encode(key: string, value: string): Buffer {
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + key.length + value.length, 0);
  header.writeUInt8(key.length, 4);
  return Buffer.concat([header, Buffer.from(key + value)]);
}

function append(body: Buffer, at?: number): Promise<Response> {
  const query = at === undefined ? '' : `&at=${at}`;
  return fetch(`http://${store.address}/log-append?topic=${TOPIC}&part=0${query}`, {
    body: new Uint8Array(body),
    method: 'POST',
  });
}

function get(path: string, query: string, timeoutMs = 3000): Promise<Response> {
  const signal = AbortSignal.timeout(timeoutMs);
  return fetch(`http://${store.address}${path}?topic=${TOPIC}&part=0${query}`, { signal });
}

async function readRecords(query: string): Promise<{ body: string; end: bigint; first: bigint }> {
  const body = Buffer.from(await (await get('/log-read', query)).arrayBuffer());
  return { body: body.toString('latin1', 16), end: body.readBigUInt64BE(0), first: body.readBigUInt64BE(8) };
}

// Guards against a stand-in that is more lenient than the store: tests with it would then pass wrongly.
describe('StoreStandIn', () => {
  it('appends under the condition that the topic ends at an offset', async () => {
    expect(await (await append(Buffer.concat([encode('a', '1'), encode('b', '2')]), 0)).json()).toEqual({
      end: 2,
      offset: 0,
    });
    const conflict = await append(encode('c', '3'), 1);
    expect([conflict.status, await conflict.json()]).toEqual([412, { end: 2 }]);
    expect(await readRecords('&from=1')).toEqual({
      body: encode('b', '2').toString('latin1'),
      end: 2n,
      first: 0n,
    });
  });

  it('takes at least 4 ms for each append', async () => {
    const startedAt = performance.now();
    await Promise.all(Array.from({ length: 25 }, (_, index) => append(encode(`k${index}`, 'x'))));
    expect(performance.now() - startedAt).toBeGreaterThan(90);
  });

  it('holds a read until a record is appended', async () => {
    const read = readRecords('&from=0&wait_ms=2000');
    await delay(20);
    await append(encode('a', '1'));
    expect((await read).end).toBe(1n);
  });

  it('drops old records but keeps the newest of each key, without removed keys', async () => {
    await append(Buffer.concat([encode('a', '1'), encode('a', '2'), encode('b', '3'), encode('b', '')]));
    await delay(HISTORY_MS + 20);
    const dropped = await get('/log-read', '&from=3');
    expect([dropped.status, await dropped.json()]).toEqual([410, { first: 4 }]);
    expect(await (await get('/log-newest', '')).json()).toEqual({
      end: 4,
      has_more: false,
      items: [{ key: 'a', offset: 1, value: Buffer.from('2').toString('base64') }],
    });
  });

  it.each([
    { bytes: 10, count: 600, pageSizes: [500, 100] },
    { bytes: 4800, count: 300, pageSizes: [156, 144] },
  ])(
    'limits pages of newest records, $count records of $bytes bytes',
    async ({ bytes, count, pageSizes }) => {
      const keys = Array.from({ length: count }, (_, index) => `k${String(index).padStart(4, '0')}`);
      store.append(
        TOPIC,
        keys.map((key) => ({ key, value: 'x'.repeat(bytes) })),
      );
      const pages: string[][] = [];
      for (let hasMore = true; hasMore;) {
        const after = pages.at(-1)?.at(-1);
        const res = await get('/log-newest', after === undefined ? '' : `&after=${after}`);
        const page = (await res.json()) as { has_more: boolean; items: { key: string }[] };
        pages.push(page.items.map((item) => item.key));
        hasMore = page.has_more;
      }
      expect(pages.map((page) => page.length)).toEqual(pageSizes);
      expect(pages.flat()).toEqual(keys);
    },
  );

  it('carries out calls whose answers are lost, and none while it is down', async () => {
    store.stop();
    store = await StoreStandIn.start();
    store.setFaults({ loseAnswers: true });
    await expect(get('/log-read', '&from=0', 100)).rejects.toThrow();
    void append(encode('a', '1')).catch(() => undefined);
    await delay(50);
    store.setFaults({ down: true });
    expect((await append(encode('b', '2'))).status).toBe(503);
    store.setFaults({ slowMs: 100 });
    const startedAt = performance.now();
    expect((await readRecords('&from=0')).end).toBe(1n);
    expect(performance.now() - startedAt).toBeGreaterThan(90);
  });
});
