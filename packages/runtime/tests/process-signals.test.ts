import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { ProcessSignals } from '../src';

class FakeProcess extends EventEmitter {
  readonly exits: number[] = [];

  exit(code: number): void {
    this.exits.push(code);
  }
}

// Guards against processes that a signal ends although they have work in progress.
describe('ProcessSignals', () => {
  it('listens to SIGHUP from its installation on, also before settings are watched and after that has ended', () => {
    const source = new FakeProcess();
    const signals = new ProcessSignals(source);
    signals.install();
    expect(source.emit('SIGHUP')).toBe(true);
    const reloads: string[] = [];
    const watch = new AbortController();
    signals.onReload(() => reloads.push('reload'), watch.signal);
    expect(reloads).toHaveLength(1);
    source.emit('SIGHUP');
    expect(reloads).toHaveLength(2);
    watch.abort();
    expect(source.emit('SIGHUP')).toBe(true);
    expect(reloads).toHaveLength(2);
  });

  it('stops once, however often SIGTERM comes', () => {
    const source = new FakeProcess();
    const signals = new ProcessSignals(source);
    expect(signals.stop.aborted).toBe(false);
    source.emit('SIGTERM');
    source.emit('SIGTERM');
    source.emit('SIGINT');
    expect(signals.stop.aborted).toBe(true);
    expect(source.exits).toEqual([]);
  });

  it('exits at the second SIGINT', () => {
    const source = new FakeProcess();
    const signals = new ProcessSignals(source);
    expect(signals.stop.aborted).toBe(false);
    source.emit('SIGINT');
    expect([signals.stop.aborted, source.exits]).toEqual([true, []]);
    source.emit('SIGINT');
    expect(source.exits).toEqual([1]);
  });
});
