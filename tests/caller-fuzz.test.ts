import fc from 'fast-check';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { startBookings } from './support/bookings';

const SEED = 13;
const OUTCOMES = ['answered', 'not-run', 'unknown'];

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startBookings({ entries: 1, executors: 1 });
});

afterAll(async () => {
  await cluster.stop();
});

// Characters that a header value may carry on the wire.
const headerValue = fc
  .array(fc.integer({ max: 126, min: 33 }), { maxLength: 300 })
  .map((codes) => String.fromCharCode(...codes));
const name = fc.oneof(
  fc.constant('bookings'),
  fc.constant('charge'),
  fc.constant('quote'),
  fc.string({ maxLength: 20 }),
);

const wish = fc.record({
  body: fc.oneof(
    fc.string({ maxLength: 200 }),
    fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  ),
  contentType: fc.oneof(fc.constant('application/json'), headerValue),
  deadline: fc.option(fc.oneof(fc.constant('500'), headerValue)),
  job: fc.oneof(fc.constant('charge'), fc.constant('quote'), name),
  key: fc.option(headerValue),
  pool: fc.oneof(fc.constant('bookings'), name),
  repeatable: fc.option(fc.oneof(fc.constant('false'), headerValue)),
});

// Guards against input that ends the process, gets no outcome, or is answered with a server error of ours.
describe("callers' interface", () => {
  it(`gives every request an outcome, whatever its headers, key and body (seed ${SEED})`, async () => {
    const url = cluster.entries[0]?.url ?? '';
    const seen = new Set<string>();
    await fc.assert(
      fc.asyncProperty(wish, async ({ body, contentType, deadline, job, key, pool, repeatable }) => {
        const res = await request(
          `${url}/v1/pools/${encodeURIComponent(pool)}/jobs/${encodeURIComponent(job)}`,
          {
            body,
            headers: {
              'content-type': contentType === '' ? 'text/plain' : contentType,
              ...(deadline === null ? {} : { 'sequoiaquay-deadline-ms': deadline }),
              ...(key === null ? {} : { 'idempotency-key': key }),
              ...(repeatable === null ? {} : { 'sequoiaquay-repeatable': repeatable }),
            },
            method: 'POST',
          },
        );
        const text = await res.body.text();
        // An empty or dotted name doesn't match the path of the interface.
        if (res.headers['sequoiaquay-outcome'] === undefined) {
          expect(res.statusCode).toBe(404);
          return;
        }
        expect(OUTCOMES).toContain(res.headers['sequoiaquay-outcome']);
        expect(res.statusCode, text).not.toBe(500);
        seen.add(String(res.headers['sequoiaquay-outcome']));
      }),
      { numRuns: 600, seed: SEED },
    );
    expect([...seen]).toEqual(expect.arrayContaining(['answered', 'not-run']));
    expect((await request(`${url}/healthz`)).statusCode).toBe(200);
  });
});
