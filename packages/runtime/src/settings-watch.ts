import type { ZodType } from 'zod';
import { statSync } from 'node:fs';
import type { Logger } from './logger';
import type { TimerService } from './timer-service';
import { loadSettings } from './settings-file';

/** Period of looking whether the file has changed without a signal, in ms. */
const LOOK_MS = 1000;

/**
 * Settings of a process that follow their file: it is read again on SIGHUP, and when it changes without
 * one. A file that can't be used changes nothing.
 */
export class SettingsWatch<T extends object> {
  #changedAt: number;

  constructor(
    private readonly file: string,
    private readonly schema: ZodType<T>,
    /** Settings in force. */
    public current: T,
    private readonly onChange: (cfg: T, changed: string[]) => void,
    private readonly log: Logger,
  ) {
    this.#changedAt = this.#modifiedAt();
  }

  /** Follows the file until the signal aborts. */
  run(timers: TimerService, signal: AbortSignal): void {
    const onSignal = (): void => {
      this.reload('SIGHUP');
    };
    process.on('SIGHUP', onSignal);
    signal.addEventListener('abort', () => {
      process.off('SIGHUP', onSignal);
    });
    timers.every(
      LOOK_MS,
      () => {
        if (this.#modifiedAt() !== this.#changedAt) {
          this.reload('file changed');
        }
      },
      signal,
    );
  }

  /** Reads the file again. */
  reload(reason: string): void {
    this.#changedAt = this.#modifiedAt();
    const loaded = loadSettings(this.file, this.schema);
    if (loaded.isErr()) {
      this.log.error({ problems: loaded.error.problems, reason }, 'settings not reloaded');
      return;
    }
    const changed = changedFields(this.current, loaded.value);
    this.current = loaded.value;
    this.log.info({ changed, reason }, 'settings reloaded');
    if (changed.length > 0) {
      this.onChange(loaded.value, changed);
    }
  }

  #modifiedAt(): number {
    return statSync(this.file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
  }
}

function changedFields<T extends object>(before: T, after: T): string[] {
  const old = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([name, value]) => JSON.stringify(old.get(name)) !== JSON.stringify(value))
    .map(([name]) => name);
}
