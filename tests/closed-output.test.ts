import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { NodeCluster } from './support/node-cluster';
import { findFreePorts } from './support/ports';

/** Time in which each program writes several lines, in ms. */
const LINES_MS = 3000;

async function writeSettings(binary: string): Promise<string> {
  const directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-output-'));
  const file = join(directory, `${binary}.json`);
  const secretFile = join(directory, 'secret');
  writeFileSync(secretFile, '0'.repeat(64));
  const [port = 0, peerPort = 0, platformPort = 0] = await findFreePorts(3);
  const settings = {
    listen: `127.0.0.1:${port}`,
    name: 'a',
    // Nothing listens there, which is logged.
    platform: { addresses: [`http://127.0.0.1:${platformPort}`] },
    secretFile,
    vm: 'vm-0',
    zone: 'z',
    ...(binary === 'sequoiaquay-entry'
      ? { controls: ['127.0.0.1:2'], peerListen: `127.0.0.1:${peerPort}` }
      : {}),
  };
  writeFileSync(file, JSON.stringify(settings));
  return file;
}

async function endWithClosedOutput(binary: string, option: string, file: string): Promise<unknown[]> {
  const child = spawn(resolve(`dist/${binary}.mjs`), [option, file], { stdio: ['ignore', 'pipe', 'ignore'] });
  const exited = once(child, 'exit');
  child.stdout.destroy();
  const early = await Promise.race([exited, delay(LINES_MS, undefined)]);
  child.kill('SIGTERM');
  return [early, await exited];
}

// Guards against processes that end because nobody reads their log any more.
describe('a process whose standard output is closed', () => {
  it.each(['sequoiaquay-control', 'sequoiaquay-entry'])(
    'goes on until it is told to stop: %s',
    async (binary) => {
      const file = await writeSettings(binary);
      expect(await endWithClosedOutput(binary, '--config', file)).toEqual([undefined, [0, null]]);
    },
  );

  it('goes on until it is told to stop: sequoiaquay-node', async () => {
    const cluster = await NodeCluster.start({ nodes: 1 }, []);
    const { settingsFile } = cluster.getNode(0);
    await cluster.kill(0);
    expect(JSON.parse(readFileSync(settingsFile, 'utf8'))).toBeTypeOf('object');
    const result = await endWithClosedOutput('sequoiaquay-node', '--settings', settingsFile);
    expect(result).toEqual([undefined, [0, null]]);
    await cluster.stop();
  });
});
