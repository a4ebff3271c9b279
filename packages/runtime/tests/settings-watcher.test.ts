import { createLogger } from 'bunyan';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { processSignals, SettingsWatcher, SystemTimerService } from '../src';

const schema = z.object({ level: z.string(), size: z.number() });
const log = createLogger({ name: 'test', streams: [] });

describe('SettingsWatcher', () => {
  let dir = '';
  let file = '';
  const changes: string[][] = [];

  beforeEach(() => {
    dir = mkdtempSync(join(tmpdir(), 'settings-'));
    file = join(dir, 'node.json');
    changes.length = 0;
    writeFileSync(file, JSON.stringify({ level: 'info', size: 1 }));
  });

  afterEach(() => {
    rmSync(dir, { recursive: true });
  });

  function createWatcher(): SettingsWatcher<z.infer<typeof schema>> {
    const onChange = (_: unknown, changed: string[]): void => {
      changes.push(changed);
    };
    return new SettingsWatcher(file, schema, { level: 'info', size: 1 }, onChange, log);
  }

  it('reloads the settings on SIGHUP without ending the process', async () => {
    const stop = new AbortController();
    const watcher = createWatcher();
    watcher.run(new SystemTimerService(), processSignals, stop.signal);
    writeFileSync(file, JSON.stringify({ level: 'debug', size: 1 }));
    process.kill(process.pid, 'SIGHUP');
    await expect.poll(() => watcher.current.level).toBe('debug');
    stop.abort();
    expect(changes[0]).toEqual(['level']);
  });

  it('keeps the current settings if the file is invalid', () => {
    const watcher = createWatcher();
    writeFileSync(file, '{"level":');
    watcher.reload('test');
    expect(watcher.current).toEqual({ level: 'info', size: 1 });
    expect(changes).toEqual([]);
  });
});
