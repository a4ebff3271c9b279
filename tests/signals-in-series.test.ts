import { execFileSync } from 'node:child_process';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { NodeAnswer } from './support/node-cluster';
import { createJobId, NodeCluster } from './support/node-cluster';
import { BinaryProcess } from './support/process';
import { waitFor } from './support/wait-for';

const SEED = 51;

const CALLER_TIMEOUT_MS = 3000;

/** Time for which a node serves callers after the signal to stop, in ms. */
const SERVED_MS = 2000;

const REQUEST_INTERVAL_MS = 40;
const SIGNAL_INTERVAL_MS = 190;

const EXIT_TIMEOUT_MS = 8000;

describe(`signals to a node in series (seed ${SEED})`, () => {
  let cluster: NodeCluster;

  beforeAll(async () => {
    cluster = await NodeCluster.start({ nodes: 2 }, []);
  });

  afterAll(async () => {
    await cluster.stop();
  });

  // Guards against requests that are cut since a signal during the shutdown ends the process.
  it('answers every request that comes while it shuts down, whatever signals follow', async () => {
    const { process: node } = cluster.getNode(1);
    const answers: Promise<NodeAnswer>[] = [];
    node.send('SIGTERM');
    const endsAt = performance.now() + SERVED_MS;
    let signalAt = performance.now();
    for (let number = 0; performance.now() < endsAt; number += 1) {
      answers.push(cluster.show(1, createJobId(SEED, number), CALLER_TIMEOUT_MS));
      if (performance.now() > signalAt) {
        signalAt += SIGNAL_INTERVAL_MS;
        node.send(number % 2 === 0 ? 'SIGHUP' : 'SIGTERM');
      }
      await delay(REQUEST_INTERVAL_MS);
    }
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 0)).toEqual([]);
    expect(statuses.length).toBeGreaterThan(20);
    expect(await Promise.race([node.exited, delay(EXIT_TIMEOUT_MS, 'still running')])).toBe(0);
  });
});

/** Process that waits for its settings, which come through a named pipe. */
function startBeforeSettings(
  binary: string,
  option: string,
): {
  log: () => string;
  process: BinaryProcess;
  provide: (settings: object) => void;
} {
  const directory = mkdtempSync(join(tmpdir(), 'sequoiaquay-signals-'));
  const settingsFile = join(directory, 'settings.json');
  const logFile = join(directory, 'process.log');
  execFileSync('mkfifo', [settingsFile]);
  const process = new BinaryProcess(binary, [option, settingsFile], logFile);
  // Opening the pipe returns once the process reads its settings.
  const pipe = openSync(settingsFile, 'w');
  return {
    log: () => readFileSync(logFile, 'utf8'),
    process,
    provide: (settings) => {
      const text = JSON.stringify(settings);
      writeFileSync(`${settingsFile}.next`, text);
      renameSync(`${settingsFile}.next`, settingsFile);
      writeSync(pipe, text);
      closeSync(pipe);
    },
  };
}

// Guards against a process that a signal ends while it starts.
describe('a signal before the settings are read', () => {
  it('lets a node start and read its settings again after SIGHUP, or stop after SIGTERM', async () => {
    const cluster = await NodeCluster.start({ nodes: 1 }, []);
    const settings = JSON.parse(readFileSync(cluster.getNode(0).settingsFile, 'utf8')) as object;
    await cluster.kill(0);
    const reloaded = startBeforeSettings('sequoiaquay-node', '--settings');
    reloaded.process.send('SIGHUP');
    reloaded.provide(settings);
    await cluster.waitUntilReady(0, EXIT_TIMEOUT_MS);
    await waitFor('the line about the settings', EXIT_TIMEOUT_MS, () =>
      Promise.resolve(reloaded.log().includes('"reason":"SIGHUP"') || undefined),
    );
    reloaded.process.send('SIGTERM');
    expect(await reloaded.process.exited).toBe(0);
    const stopped = startBeforeSettings('sequoiaquay-node', '--settings');
    stopped.process.send('SIGTERM');
    stopped.provide(settings);
    expect(await stopped.process.exited).toBe(0);
    await cluster.stop();
  });

  it.each(['sequoiaquay-control', 'sequoiaquay-entry'])(
    'does not end the other binaries: %s',
    async (binary) => {
      const started = startBeforeSettings(binary, '--config');
      started.process.send('SIGHUP');
      started.provide({});
      // The settings are incomplete.
      expect(await started.process.exited).toBe(2);
    },
  );
});
