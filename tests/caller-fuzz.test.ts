import fc from 'fast-check';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Cluster } from './support/cluster';
import { startBookingsCluster } from './support/bookings';

const SEED = 13;
const OUTCOMES = ['answered', 'not-run', 'unknown'];

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startBookingsCluster({ entries: 1, executors: 1 });
});

afterAll(async () => {
  await cluster.stop();
});

// Printable ASCII characters without the space, which are valid in a header value.
const headerValue = fc
  .array(fc.integer({ max: 126, min: 33 }), { maxLength: 300 })
  .map((codes) => String.fromCharCode(...codes));
const pathName = fc.oneof(
  fc.constant('bookings'),
  fc.constant('charge'),
  fc.constant('quote'),
  fc.string({ maxLength: 20 }),
);

const requestFields = fc.record({
  body: fc.oneof(
    fc.string({ maxLength: 200 }),
    fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  ),
  contentType: fc.oneof(fc.constant('application/json'), headerValue),
  deadline: fc.option(fc.oneof(fc.constant('500'), headerValue)),
  job: fc.oneof(fc.constant('charge'), fc.constant('quote'), pathName),
  key: fc.option(headerValue),
  pool: fc.oneof(fc.constant('bookings'), pathName),
  repeatable: fc.option(fc.oneof(fc.constant('false'), headerValue)),
});

// Guards against input that crashes the entry, gets an answer without an outcome, or makes the entry answer
// with status 500.
describe("callers' interface", () => {
  it(`answers every request with an outcome for arbitrary headers, keys and bodies (seed ${SEED})`, async () => {
    const url = cluster.entries[0]?.url ?? '';
    const outcomes = new Set<string>();
    await fc.assert(
      fc.asyncProperty(requestFields, async ({ body, contentType, deadline, job, key, pool, repeatable }) => {
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
        // An empty name, or one of dots only, doesn't match the path of the interface.
        if (res.headers['sequoiaquay-outcome'] === undefined) {
          expect(res.statusCode).toBe(404);
          return;
        }
        expect(OUTCOMES).toContain(res.headers['sequoiaquay-outcome']);
        expect(res.statusCode, text).not.toBe(500);
        outcomes.add(String(res.headers['sequoiaquay-outcome']));
      }),
      { numRuns: 600, seed: SEED },
    );
    expect([...outcomes]).toEqual(expect.arrayContaining(['answered', 'not-run']));
    expect((await request(`${url}/healthz`)).statusCode).toBe(200);
  });
});
