import { EmbeddedSite } from '@sequoiaquay/stand-ins/embedded';
import { createLogger } from 'bunyan';
import { writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { runCli } from '../src/cli';

const TEAM = 'voyages';
const BRANCH = {
  pools: { bookings: { jobs: { quote: { repeatable: true, timeoutMs: 5000 } }, minServing: 1 } },
};

let site: EmbeddedSite;
let config: string;

interface CommandRun {
  err: string;
  exit: number;
  out: string;
}

async function run(...argv: string[]): Promise<CommandRun> {
  const printed = { err: '', out: '' };
  const exit = await runCli(argv, {
    err: (text) => (printed.err += text),
    out: (text) => (printed.out += text),
  });
  return { ...printed, exit };
}

function runWithConfig(...argv: string[]): Promise<CommandRun> {
  return run(...argv, '--config', config);
}

function writeFile(name: string, value: unknown): string {
  const file = join(site.directory, name);
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
  return file;
}

async function currentVersion(): Promise<number> {
  const { out } = await runWithConfig('settings', 'get', '--json');
  return (JSON.parse(out) as { version: number }).version;
}

beforeAll(async () => {
  const log = createLogger({ level: 'fatal', name: 'test' });
  site = await EmbeddedSite.start({ entries: 2, executors: 2, log, teams: [TEAM, 'office'] });
  config = writeFile('cli.json', {
    controls: site.vms.map((vm) => vm.controlAddress),
    team: TEAM,
    tokenFile: site.tokenFile(TEAM),
  });
  const applied = await runWithConfig('settings', 'apply', writeFile('branch.json', BRANCH));
  expect(applied).toMatchObject({ err: '', exit: 0 });
  for (const vm of ['target-0', 'target-1']) {
    expect(await runWithConfig('move', vm, 'bookings')).toMatchObject({ exit: 0 });
  }
  for (let left = 100; left > 0 && !(await runWithConfig('pools')).out.includes('2        1'); left -= 1) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
});

afterAll(async () => {
  await site.stop();
});

describe('invalid commands', () => {
  it.each([
    [
      ['settings', 'set', 'pools.bookings.minServing', 'three'],
      2,
      /minServing: the value three .* whole number from 0/,
    ],
    [
      ['settings', 'set', 'pools.bookings.minservng', '2'],
      2,
      /minservng: no such option .*value 2.* minServing/,
    ],
    [['settings', 'set', '__proto__.polluted', '1'], 2, /__proto__.*no such option/],
    [['settings', 'set', 'pools.__proto__.minServing', '1'], 2, /no such option/],
    [['settings', 'set', 'pools.other.minServing', '1'], 2, /pools\.other\.jobs/],
    [['settings', 'set', 'pools.bookings'], 2, /usage: sequoiaquay settings set PATH VALUE/],
    [['settings', 'put'], 2, /put is not allowed; allowed: get, set, apply, diff, history/],
    [['settings', 'apply', '/nowhere.json'], 2, /nowhere\.json/],
    [['explain', 'team', 'x'], 2, /team is not allowed; allowed: vm, pool, task, request/],
    [['drain', 'target-0', '--purpose', 'sleep'], 2, /--purpose: the value sleep .* reboot, remove/],
    [['drain'], 2, /missing required args/],
    [['drain', 'target-9'], 1, /unknown-vm.*target-9/],
    [['move', 'target-0', 'nowhere'], 1, /unknown-pool.*nowhere/],
    [['undrain', 'target-0'], 1, /wrong-state/],
    [['explain', 'vm', 'target-9'], 1, /unknown-vm/],
    [['explain', 'request', 'none'], 1, /unknown-request/],
    [['timeline', '--limit', '0'], 1, /limit/],
    [['reboot-all'], 2, /reboot-all is not allowed; allowed: settings/],
    [['pools', '--verbose'], 2, /verbose/],
  ])('%j exits with %i, prints the reason and changes nothing', async (argv, exit, message) => {
    const before = await currentVersion();
    const result = await runWithConfig(...argv);
    expect(result).toMatchObject({ exit, out: '' });
    expect(result.err).toMatch(message);
    expect(await currentVersion()).toBe(before);
    const json = await runWithConfig(...argv, '--json');
    expect(json).toMatchObject({ err: '', exit });
    expect(JSON.parse(json.out)).toMatchObject({ exit });
  });

  it.each([
    ['not JSON', /not JSON/],
    [{ controls: [], team: 'UP', tokenFile: '', token: 'x' }, /controls.*\n.*team.*\n.*tokenFile.*\n.*token/],
  ])('--check-config prints every error of %j with its path', async (value, message) => {
    const result = await run('--check-config', writeFile('bad.json', value));
    expect(result.exit).toBe(2);
    expect(result.err).toMatch(message);
  });

  it('prints the path of a token file that cannot be read', async () => {
    const result = await runWithConfig('pools', '--token-file', '/nowhere/token');
    expect(result).toMatchObject({ exit: 2 });
    expect(result.err).toContain('/nowhere/token');
  });

  it("refuses a change of another team's branch", async () => {
    const result = await runWithConfig('settings', 'set', 'weight', '2', '--team', 'office');
    expect(result).toMatchObject({ exit: 1 });
    expect(result.err).toContain('other-team');
  });
});

describe('settings', () => {
  it('sets one option based on the current version and prints the difference', async () => {
    const result = await runWithConfig('settings', 'set', 'pools.bookings.keptShortSlots', '4');
    expect(result.exit).toBe(0);
    expect(result.out).toContain('pools.bookings.keptShortSlots: - -> 4');
    expect((await runWithConfig('settings', 'get', 'pools.bookings.keptShortSlots')).out).toMatch(/\n4\n$/);
    expect((await runWithConfig('settings', 'history')).out).toContain('keptShortSlots: - -> 4');
  });

  it('prints the changes since a stale base version and changes nothing', async () => {
    const file = writeFile('read.json', (await runWithConfig('settings', 'get', '--json')).out);
    await runWithConfig('settings', 'set', 'weight', '3');
    const now = await currentVersion();
    const edited = JSON.parse((await runWithConfig('settings', 'get', '--json')).out) as { branch: object };
    const stale = { ...edited, branch: { ...edited.branch, weight: 5 }, version: now - 1 };
    const result = await runWithConfig('settings', 'apply', writeFile('stale.json', stale));
    expect(result.exit).toBe(1);
    expect(result.err).toContain('stale-base');
    expect(result.err).toContain('weight: 3 -> 5');
    expect(await currentVersion()).toBe(now);
    expect((await runWithConfig('settings', 'diff', file)).out).toBe('weight: 3 -> 1\n');
  });
});

describe('reads', () => {
  it.each([
    ['pools', [], /bookings +voyages +2 +2 +1/],
    ['vms', [], /target-0 +bookings +serving +up/],
    ['status', [], /team voyages: version \d+ in force on [12] of 2 entries/],
    ['explain', ['pool', 'bookings'], /pool bookings of team voyages .* budget 1/],
    ['timeline', ['--id', 'target-0'], /vm-drain target-0 accepted=true/],
  ])('%s %j prints plain text and JSON', async (command, args, line) => {
    const plain = await runWithConfig(command, ...args);
    expect(plain).toMatchObject({ err: '', exit: 0 });
    expect(plain.out).toMatch(line);
    const json = await runWithConfig(command, ...args, '--json');
    expect(json.exit).toBe(0);
    expect(JSON.parse(json.out)).toBeTypeOf('object');
  });
});

describe('unreachable controls', () => {
  it('sends reads and changes to another control if the first refuses connections', async () => {
    const controls = ['--control', '127.0.0.1:1', '--control', site.vms[1]?.controlAddress ?? ''];
    expect(await runWithConfig('pools', ...controls)).toMatchObject({ exit: 0 });
    const set = await runWithConfig('settings', 'set', 'weight', '7', ...controls);
    expect(set).toMatchObject({ err: '', exit: 0 });
  });

  it('exits with 3 and reports that nothing was changed if no control accepts a connection', async () => {
    const result = await runWithConfig('drain', 'target-0', '--control', '127.0.0.1:1');
    expect(result).toMatchObject({ exit: 3 });
    expect(result.err).toContain('nothing was changed');
  });

  it('looks up the outcome of a change by its record id if the response is lost', async () => {
    const [first, second] = site.vms.map((vm) => vm.controlAddress);
    // Forwards the change to a control and then closes the connection without a response.
    const faultyProxy = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        if (req.method === 'GET') {
          res.destroy();
          return;
        }
        void fetch(`http://${first ?? ''}${req.url ?? ''}`, {
          body: Buffer.concat(chunks),
          headers: req.headers as Record<string, string>,
          method: req.method ?? 'PUT',
        }).finally(() => res.destroy());
      });
    });
    await new Promise<void>((resolve) => faultyProxy.listen(0, '127.0.0.1', resolve));
    const address = faultyProxy.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const before = await currentVersion();
    const records = site.platform.getOrCreateStream('fleet').end;
    const controls = ['--control', `127.0.0.1:${port}`, '--control', second ?? ''];
    const set = await runWithConfig('settings', 'set', 'weight', '9', ...controls);
    faultyProxy.close();
    expect(set).toMatchObject({ err: '', exit: 0 });
    expect(await currentVersion()).toBeGreaterThan(before);
    expect(site.platform.getOrCreateStream('fleet').end).toBe(records + 1);
  });

  it('exits with 3 and prints the record id when the log is down', async () => {
    site.platform.setFaults({ down: true });
    const result = await runWithConfig('settings', 'set', 'weight', '11', '--timeout-ms', '1500');
    site.platform.setFaults({});
    expect(result).toMatchObject({ exit: 3, out: '' });
    expect(result.err).toMatch(/record [0-9a-f-]{36} may still take effect/);
  });
});
