import { EmbeddedSite, getTeamToken } from '@sequoiaquay/stand-ins/embedded';
import { createLogger } from 'bunyan';
import fc from 'fast-check';
import { randomUUID } from 'node:crypto';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const TEAM = 'voyages';
const OTHER_TEAM = 'office';
/** Seed of the generated requests. */
const SEED = 20261204;

const SETTINGS = {
  pools: { bookings: { jobs: { quote: { repeatable: true, timeoutMs: 5000 } }, minServing: 1 } },
};

interface ApiResponse {
  body: Record<string, unknown>;
  status: number;
}

interface ApiCall {
  body?: string;
  headers?: Record<string, string>;
  method: string;
  path: string;
  team?: string;
}

let site: EmbeddedSite;

async function callApi(
  { body, headers, method, path, team = TEAM }: ApiCall,
  control = 0,
): Promise<ApiResponse> {
  const res = await fetch(`http://${site.vms[control]?.controlAddress ?? ''}/v1${path}`, {
    body,
    headers: { ...(team === '' ? {} : { authorization: `Bearer ${getTeamToken(team)}` }), ...headers },
    method,
  });
  return { body: (await res.json()) as Record<string, unknown>, status: res.status };
}

function putSettings(
  settings: unknown,
  base: number,
  overrides: Partial<ApiCall> = {},
): Promise<ApiResponse> {
  const headers = { 'if-match': String(base), ...overrides.headers };
  return callApi({
    body: JSON.stringify(settings),
    method: 'PUT',
    path: `/settings/${TEAM}`,
    ...overrides,
    headers,
  });
}

async function getVersion(team = TEAM): Promise<number> {
  return (await callApi({ method: 'GET', path: `/settings/${team}` })).body.version as number;
}

beforeAll(async () => {
  const log = createLogger({ name: 'test', streams: [] });
  site = await EmbeddedSite.start({ entries: 2, executors: 2, log, teams: [TEAM, OTHER_TEAM] });
  expect(await putSettings(SETTINGS, 0)).toMatchObject({ status: 200 });
  const moved = await callApi({ body: '{"to":"bookings"}', method: 'POST', path: '/vms/target-0/move' });
  expect(moved).toMatchObject({ body: { accepted: true }, status: 200 });
  for (let attemptsLeft = 100; attemptsLeft > 0; attemptsLeft -= 1) {
    const pools = (await callApi({ method: 'GET', path: '/pools' })).body as unknown as { serving: number }[];
    if (pools[0]?.serving === 1) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
});

afterAll(async () => {
  await site.stop();
});

const READ_PATHS = [
  '/settings/voyages',
  '/settings/voyages/history',
  '/pools',
  '/vms',
  '/status',
  '/timeline',
  '/tasks',
  '/explain/vm/target-0',
  '/explain/pool/bookings',
] as const;

const CHANGE_CALLS: ApiCall[] = [
  { body: JSON.stringify(SETTINGS), headers: { 'if-match': '0' }, method: 'PUT', path: '/settings/voyages' },
  { body: '{}', method: 'POST', path: '/vms/target-0/drain' },
  { body: '{}', method: 'POST', path: '/vms/target-0/undrain' },
  { body: '{"to":"unassigned"}', method: 'POST', path: '/vms/target-0/move' },
];

// Guards against routes that need the log or that respond without a token.
describe('reads', () => {
  it.each(READ_PATHS)('%s accepts the token of any team and no other', async (path) => {
    expect(await callApi({ method: 'GET', path })).toMatchObject({ status: 200 });
    expect(await callApi({ method: 'GET', path, team: OTHER_TEAM })).toMatchObject({ status: 200 });
    expect(await callApi({ method: 'GET', path, team: '' })).toMatchObject({
      body: { reason: 'unauthorized' },
      status: 401,
    });
    expect(await callApi({ method: 'GET', path, team: 'stranger' })).toMatchObject({ status: 401 });
  });

  it.each([
    ['/settings/__proto__', 404, 'unknown-team'],
    ['/settings/UPPER/history', 404, 'unknown-team'],
    ['/records/none', 404, 'unknown-record'],
    ['/explain/vm/none', 404, 'unknown-vm'],
    ['/explain/vm/__proto__', 404, 'unknown-vm'],
    ['/explain/pool/constructor', 404, 'unknown-pool'],
    ['/explain/request/none', 404, 'unknown-request'],
    ['/explain/task/none', 404, 'unknown-task'],
    ['/explain/team/voyages', 422, 'bad-request'],
    ['/waves/current', 404, 'not-available'],
    ['/timeline?limit=0', 422, 'bad-request'],
    ['/timeline?limit=many', 422, 'bad-request'],
    ['/timeline?colour=red', 422, 'bad-request'],
  ])('%s responds with %i %s', async (path, status, reason) => {
    expect(await callApi({ method: 'GET', path })).toMatchObject({ body: { reason }, status });
  });

  it.each(READ_PATHS)('%s responds while the log is down', async (path) => {
    site.platform.setFaults({ down: true });
    const answer = await callApi({ method: 'GET', path });
    site.platform.setFaults({});
    expect(answer.status).toBe(200);
  });
});

// Guards against changes without a token or by another team, invalid changes that reach the log, and changes
// that are applied twice or reported wrongly when the log or a response fails.
describe('changes', () => {
  it.each(CHANGE_CALLS)('$method $path is refused without a token and for another team', async (change) => {
    const before = site.platform.getOrCreateStream('fleet').end;
    expect(await callApi({ ...change, team: '' })).toMatchObject({ status: 401 });
    expect(await callApi({ ...change, team: OTHER_TEAM })).toMatchObject({
      body: { reason: 'other-team' },
      status: 403,
    });
    expect(site.platform.getOrCreateStream('fleet').end).toBe(before);
  });

  it.each([
    ['PUT', '/settings/voyages', 422, 'bad-settings', '{'],
    ['PUT', '/settings/voyages', 422, 'bad-settings', '{"pools":{"__proto__":{}}}'],
    ['PUT', '/settings/voyages', 422, 'bad-settings', '{"pools":{},"colour":"red"}'],
    [
      'PUT',
      '/settings/voyages',
      413,
      'request-too-large',
      `{"pools":{},"weight":"${'9'.repeat(1_100_000)}"}`,
    ],
    ['POST', '/vms/target-0/drain', 422, 'bad-request', '{"purpose":"sleep"}'],
    ['POST', '/vms/target-0/drain', 422, 'bad-request', '[]'],
    ['POST', '/vms/target-0/undrain', 422, 'bad-request', '{"drain":"x"}'],
    ['POST', '/vms/target-0/move', 422, 'bad-request', '{}'],
    ['POST', '/vms/target-0/move', 404, 'unknown-pool', '{"to":"nowhere"}'],
    ['POST', '/vms/target-0/move', 409, 'wrong-pool', '{"from":"fares","to":"unassigned"}'],
    ['POST', '/vms/target-0/drain', 409, 'budget', '{}'],
    ['POST', '/vms/target-0/undrain', 409, 'wrong-state', '{}'],
    ['POST', '/vms/none/drain', 404, 'unknown-vm', '{}'],
    ['POST', '/waves', 404, 'not-available', '{"vms":["target-0"]}'],
    ['POST', '/vms/__proto__/drain', 404, 'unknown-vm', '{}'],
  ])(
    '%s %s is refused with %i %s and changes nothing, row %#',
    async (method, path, status, reason, body) => {
      const before = await getVersion();
      const headers = { 'if-match': String(before) };
      expect(await callApi({ body, headers, method, path })).toMatchObject({ body: { reason }, status });
      expect(await getVersion()).toBe(before);
      expect((await callApi({ method: 'GET', path: '/pools' })).body).toMatchObject([{ serving: 1, vms: 1 }]);
    },
  );

  it.each([undefined, '', 'x', '-1', '1.5', '1e3', '9'.repeat(30)])(
    'refuses a settings change with If-Match %s',
    async (base) => {
      const headers = base === undefined ? undefined : { 'if-match': base };
      const body = JSON.stringify(SETTINGS);
      expect(await callApi({ body, headers, method: 'PUT', path: `/settings/${TEAM}` })).toMatchObject({
        body: { reason: 'no-base' },
        status: 428,
      });
    },
  );

  it('responds to a stale base version with the difference and the changes made since', async () => {
    const base = await getVersion();
    expect(await putSettings({ ...SETTINGS, weight: 2 }, base)).toMatchObject({ status: 200 });
    expect(await putSettings({ ...SETTINGS, weight: 3 }, base)).toMatchObject({
      body: {
        changedSince: [{ by: 'team:voyages', difference: [{ from: 1, path: 'weight', to: 2 }] }],
        difference: [{ from: 2, path: 'weight', to: 3 }],
        reason: 'stale-base',
        version: await getVersion(),
      },
      status: 409,
    });
  });

  it('returns the result and applies the change once when responses of the log are lost', async () => {
    const base = await getVersion();
    site.platform.setFaults({ loseAppendAnswers: 1 });
    const answer = await putSettings({ ...SETTINGS, weight: 4 }, base);
    site.platform.setFaults({});
    expect(answer).toMatchObject({ body: { accepted: true, version: await getVersion() }, status: 200 });
  });

  it('returns the first result for a repeated record id through another control process', async () => {
    // The repeat must not change the settings again.
    const id = randomUUID();
    const headers = { 'sequoiaquay-record-id': id };
    const first = await putSettings({ ...SETTINGS, weight: 5 }, await getVersion(), { headers });
    expect(first).toMatchObject({ body: { accepted: true, record: id }, status: 200 });
    const body = JSON.stringify({ ...SETTINGS, weight: 5 });
    const repeat: ApiCall = {
      body,
      headers: { ...headers, 'if-match': '0' },
      method: 'PUT',
      path: '/settings/voyages',
    };
    let second = await callApi(repeat, 1);
    for (let attemptsLeft = 20; attemptsLeft > 0 && second.status !== 200; attemptsLeft -= 1) {
      second = await callApi(repeat, 1);
    }
    expect(second.body).toEqual(first.body);
    const drain = { body: '{}', headers, method: 'POST', path: '/vms/target-1/drain' };
    expect(await callApi(drain)).toMatchObject({ body: { reason: 'duplicate-id' }, status: 409 });
  });

  it('refuses a record id that is not a UUID', async () => {
    const headers = { 'sequoiaquay-record-id': '__proto__' };
    expect(await putSettings(SETTINGS, await getVersion(), { headers })).toMatchObject({ status: 422 });
  });

  it('responds with 504 and the record id when the log is down', async () => {
    const base = await getVersion();
    site.platform.setFaults({ down: true });
    const answer = await putSettings({ ...SETTINGS, weight: 6 }, base);
    site.platform.setFaults({});
    expect(answer).toMatchObject({ body: { reason: 'no-verdict' }, status: 504 });
    expect(answer.body.record).toMatch(/^[0-9a-f-]{36}$/);
  });
});

// Guards against paths and bodies that cause a server error or pollute a prototype.
describe('arbitrary input', () => {
  const paths = fc.oneof(
    fc.constantFrom('/settings/voyages', '/vms/target-0/drain', '/vms/target-0/move', '/vms/x/undrain'),
    fc
      .array(fc.string({ maxLength: 20 }), { maxLength: 4 })
      .map((names) => `/${names.map(encodeURIComponent).join('/')}`),
  );

  it('responds with 4xx and lets no other team change the settings', { timeout: 60_000 }, async () => {
    const before = await getVersion();
    const bodies = fc.oneof(fc.json(), fc.string(), fc.constant('{"__proto__":{"pools":{}}}'));
    const methods = fc.constantFrom('PUT', 'POST', 'DELETE');
    await fc.assert(
      fc.asyncProperty(paths, methods, bodies, fc.nat(), async (path, method, body, base) => {
        const headers = { 'if-match': String(base) };
        const res = await fetch(`http://${site.vms[0]?.controlAddress ?? ''}/v1${path}`, {
          body,
          headers: { ...headers, authorization: `Bearer ${getTeamToken(OTHER_TEAM)}` },
          method,
        });
        await res.text();
        expect(res.status).toBeGreaterThanOrEqual(400);
        expect(res.status).toBeLessThan(500);
      }),
      { numRuns: 300, seed: SEED },
    );
    expect(await getVersion()).toBe(before);
    expect({}).not.toHaveProperty('pools');
  });
});
