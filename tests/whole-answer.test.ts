import { seededRandom } from '@sequoiaquay/stand-ins';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { CallerAnswer } from './support/caller';
import type { Cluster, EntryVm } from './support/cluster';
import { executionsOf, startBookings } from './support/bookings';
import { call, digestOf } from './support/caller';
import { waitFor } from './support/wait-for';

const SEED = Number(process.env.SEQUOIAQUAY_SEED ?? 3);
const LARGE_BYTES = 3_000_000;
const BUFFER_LIMIT = 65_536;
const PATH = '/v1/pools/bookings/jobs/quote';

let cluster: Cluster;

beforeAll(async () => {
  // The job's timeout bounds the slow reader, which takes several seconds on a busy machine.
  cluster = await startBookings(
    {
      entries: 2,
      entrySettings: { bufferLimitBytes: BUFFER_LIMIT, maxRequestBytes: 100_000 },
      executors: 3,
      faultRoutes: true,
    },
    30_000,
  );
});

afterAll(async () => {
  await cluster.stop();
});

function entry(index: number): EntryVm {
  const vm = cluster.entries[index];
  if (vm === undefined) {
    throw new Error(`no entry ${index}`);
  }
  return vm;
}

interface Ask {
  deadlineMs?: number;
  kind?: string;
  url?: string;
  work?: Record<string, unknown>;
}

function ask(job: 'charge' | 'quote', nonce: string, more: Ask = {}): Promise<CallerAnswer> {
  return call({
    body: { nonce, runMs: 1, ...more.work },
    headers: {
      'content-type': `application/json; misbehave=${more.kind ?? 'none'}`,
      'idempotency-key': nonce,
      'sequoiaquay-deadline-ms': String(more.deadlineMs ?? 3000),
    },
    job,
    patienceMs: 8000,
    url: more.url ?? entry(0).url,
  });
}

// Sends a request and tells how the connection ends. Node reports a reset as a regular end when it arrives
// together with the last bytes and the read that takes them leaves room in its buffer; a buffer of one byte
// is always full.
function endOfConnection(address: { host: string; port: number }, req: string): Promise<string> {
  const answer: number[] = [];
  const callback = (size: number, buffer: Uint8Array): boolean => {
    answer.push(...buffer.subarray(0, size));
    return true;
  };
  return new Promise((resolve) => {
    const socket = connect({ ...address, onread: { buffer: Buffer.alloc(1), callback } }, () => {
      socket.write(req);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? error.message);
    });
    socket.on('end', () => {
      resolve(`end after ${Buffer.from(answer.slice(0, 200)).toString('latin1')}`);
    });
  });
}

function residentMb(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(line?.[1] ?? 0) / 1024;
}

// Guards against an answer that belongs to another request, lacks bytes, or looks whole and isn't.
describe("invariant 3: the caller's own, whole answer", () => {
  it(`gives no caller another's answer while targets answer late, twice and in part, seed ${SEED}`, async () => {
    const random = seededRandom(SEED);
    const kinds = [
      'none',
      'none',
      'none',
      'extra-answer',
      'late-answer',
      'cut-length',
      'cut-chunked',
      'no-length',
    ];
    const seen: Record<string, number> = {};
    let wrong = 0;
    const lane = async (laneIndex: number): Promise<void> => {
      for (let round = 0; round < 40; round += 1) {
        const nonce = `mix-${laneIndex}-${round}`;
        const kind = kinds[Math.floor(random() * kinds.length)] ?? 'none';
        const work = { runMs: Math.floor(random() * 30) };
        const answer = await ask('quote', nonce, { kind, url: entry(round % 2).url, work });
        const cell = `${kind} ${answer.seen}`;
        seen[cell] = (seen[cell] ?? 0) + 1;
        const own = answer.body.includes(digestOf(nonce)) && !answer.body.includes('stale');
        wrong += answer.seen === 'answered' && !own ? 1 : 0;
      }
    };
    await Promise.all(Array.from({ length: 20 }, (_, index) => lane(index)));
    console.log(`seed ${SEED}: ${JSON.stringify(seen)}`);
    expect(wrong).toBe(0);
    for (const kind of ['cut-length', 'cut-chunked', 'no-length']) {
      expect(seen[`${kind} answered`] ?? 0).toBe(0);
    }
    expect(seen['none answered']).toBeGreaterThan(200);
  });

  it.each(['pieces', 'pieces-length'])('streams a large answer whole (%s)', async (kind) => {
    const answer = await ask('quote', `large-${kind}`, { kind, work: { bytes: LARGE_BYTES } });
    expect(answer.seen).toBe('answered');
    expect(answer.body.length).toBe(LARGE_BYTES);
  });

  it.each([
    { deadlineMs: 3000, kind: 'pieces-cut', name: 'cut by the target, chunked', pauseMs: 0 },
    { deadlineMs: 3000, kind: 'pieces-length-cut', name: 'cut by the target, with a length', pauseMs: 0 },
    { deadlineMs: 400, kind: 'pieces', name: 'cut by the deadline, chunked', pauseMs: 100 },
    { deadlineMs: 400, kind: 'pieces-length', name: 'cut by the deadline, with a length', pauseMs: 100 },
  ])('breaks the connection of an answer $name', async ({ deadlineMs, kind, pauseMs }) => {
    for (const job of ['quote', 'charge'] as const) {
      const nonce = `cut-${job}-${kind}-${deadlineMs}`;
      const answer = await ask(job, nonce, { deadlineMs, kind, work: { bytes: LARGE_BYTES, pauseMs } });
      expect(answer.seen).toBe('no-answer');
    }
  });

  it('resets the connection of an HTTP/1.0 caller, for which the end of the connection is the end of the answer', async () => {
    const body = JSON.stringify({ bytes: 4 * BUFFER_LIMIT, nonce: 'old-caller' });
    const { hostname, port } = new URL(entry(0).url);
    const ended = await endOfConnection(
      { host: hostname, port: Number(port) },
      `POST ${PATH} HTTP/1.0\r\ncontent-type: application/json; misbehave=pieces-cut\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
    expect(ended).toBe('ECONNRESET');
  });

  it('cuts no answer short when the link to the target breaks in the middle of it', async () => {
    for (const executor of cluster.executors) {
      executor.route?.setFaults({ cutAnswerAfterBytes: LARGE_BYTES / 2 });
    }
    const answer = await ask('quote', 'link', { kind: 'pieces-length', work: { bytes: LARGE_BYTES } });
    for (const executor of cluster.executors) {
      executor.route?.setFaults({});
    }
    expect(answer.seen).toBe('no-answer');
  });

  it('keeps its memory bounded while a caller reads a large answer slowly, and delivers it whole', async () => {
    const bytes = 150_000_000;
    const before = residentMb(entry(0).entry.pid);
    let peak = before;
    const res = await request(`${entry(0).url}${PATH}`, {
      body: JSON.stringify({ bytes, nonce: 'slow' }),
      headers: { 'content-type': 'application/json; misbehave=pieces' },
      method: 'POST',
    });
    let read = 0;
    let nextPause = 0;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      read += chunk.length;
      if (read > nextPause) {
        nextPause += bytes / 10;
        await delay(100);
        peak = Math.max(peak, residentMb(entry(0).entry.pid));
      }
    }
    console.log(`entry resident: ${before.toFixed(0)} MB before, ${peak.toFixed(0)} MB at most`);
    expect(read).toBe(bytes);
    expect(peak - before).toBeLessThan(80);
  });

  it('refuses a large upload while it is read, not after', async () => {
    let written = 0;
    const answer = await new Promise<{ atBytes: number; status: number }>((resolve, reject) => {
      const { hostname, port } = new URL(entry(0).url);
      const req = httpRequest({ hostname, method: 'POST', path: PATH, port }, (res) => {
        resolve({ atBytes: written, status: res.statusCode ?? 0 });
        clearInterval(timer);
        req.destroy();
      });
      req.on('error', reject);
      const timer = setInterval(() => {
        written += 50_000;
        req.write(Buffer.alloc(50_000));
      }, 20);
    });
    expect(answer.status).toBe(413);
    expect(answer.atBytes).toBeLessThan(1_000_000);
  });

  it('passes useful headers on and no hop-by-hop ones', async () => {
    const res = await request(`${entry(0).url}${PATH}`, {
      body: '{"nonce":"headers"}',
      headers: { 'content-type': 'application/json; misbehave=headers' },
      method: 'POST',
    });
    await res.body.dump();
    expect(res.headers).toMatchObject({ etag: '"v1"', 'set-cookie': ['a=1', 'b=2'] });
    expect(res.headers['x-hop']).toBeUndefined();
    expect(res.headers['keep-alive']).not.toBe('timeout=77');
  });

  it('gives a repeat through another entry the same bytes', async () => {
    const sha = async (url: string): Promise<string> => {
      const res = await request(`${url}/v1/pools/bookings/jobs/charge`, {
        body: '{"nonce":"bytes"}',
        headers: { 'content-type': 'application/json; misbehave=binary', 'idempotency-key': 'bytes' },
        method: 'POST',
      });
      expect(res.headers['sequoiaquay-outcome']).toBe('answered');
      return createHash('sha256')
        .update(Buffer.from(await res.body.arrayBuffer()))
        .digest('hex');
    };
    const all = createHash('sha256')
      .update(Buffer.from(Array.from({ length: 256 }, (_, value) => value)))
      .digest('hex');
    expect(await sha(entry(0).url)).toBe(all);
    expect(await sha(entry(1).url)).toBe(all);
  });

  it('gives a caller whose deadline passed the real answer when it repeats its key', async () => {
    const late = { deadlineMs: 300, work: { runMs: 1200 } };
    expect(await ask('charge', 'late', late)).toMatchObject({ reason: 'target-timeout', seen: 'unknown' });
    const again = await ask('charge', 'late', { url: entry(1).url, work: { runMs: 1200 } });
    expect(again).toMatchObject({ seen: 'answered' });
    expect(again.body).toContain(digestOf('late'));
    expect((await executionsOf(cluster)).filter(({ nonce }) => nonce === 'late')).toHaveLength(1);
  });

  it('fetches an answer above 4 KiB from the holder, and gives none when the holder is gone', async () => {
    const big = { kind: 'pieces-length', work: { bytes: 20_000 } };
    const first = await ask('charge', 'big', big);
    expect(first.body.length).toBe(20_000);
    const repeat = await ask('charge', 'big', { ...big, url: entry(1).url });
    expect(repeat).toEqual(first);
    await entry(0).entry.stop();
    const orphan = await ask('charge', 'big', { ...big, url: entry(1).url });
    expect(orphan).toMatchObject({ reason: 'answer-not-kept', seen: 'unknown' });
    cluster.restartEntry(0);
    await waitFor('restart', 10_000, async () =>
      (await ask('quote', 'back')).seen === 'answered' ? true : undefined,
    );
    expect((await executionsOf(cluster)).filter(({ nonce }) => nonce === 'big')).toHaveLength(1);
  });
});
