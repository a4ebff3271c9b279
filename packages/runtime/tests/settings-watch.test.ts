import { createLogger } from 'bunyan';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { SettingsWatch, SystemTimerService } from '../src';

const schema = z.object({ level: z.string(), size: z.number() });
const log = createLogger({ name: 'test', streams: [] });

describe('SettingsWatch', () => {
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

  function watch(): SettingsWatch<z.infer<typeof schema>> {
    const onChange = (_: unknown, changed: string[]): void => {
      changes.push(changed);
    };
    return new SettingsWatch(file, schema, { level: 'info', size: 1 }, onChange, log);
  }

  it('survives SIGHUP and takes the new settings', async () => {
    const stop = new AbortController();
    const watched = watch();
    watched.run(new SystemTimerService(), stop.signal);
    writeFileSync(file, JSON.stringify({ level: 'debug', size: 1 }));
    process.kill(process.pid, 'SIGHUP');
    await expect.poll(() => watched.current.level).toBe('debug');
    stop.abort();
    expect(changes[0]).toEqual(['level']);
  });

  it('keeps the settings in force when the file can not be used', () => {
    const watched = watch();
    writeFileSync(file, '{"level":');
    watched.reload('test');
    expect(watched.current).toEqual({ level: 'info', size: 1 });
    expect(changes).toEqual([]);
  });
});
