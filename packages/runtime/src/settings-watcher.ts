import type { ZodType } from 'zod';
import { statSync } from 'node:fs';
import type { Logger } from './logger';
import type { ProcessSignals } from './process-signals';
import type { TimerService } from './timer-service';
import { loadSettings } from './settings-file';

/** Interval at which the modification time of the file is checked, in ms. */
const POLL_INTERVAL_MS = 1000;

/**
 * Reloads the settings of a process from their file on SIGHUP and when the file's modification time changes.
 * An invalid file is logged and leaves the current settings in force.
 */
export class SettingsWatcher<T extends object> {
  #lastModifiedAt: number;

  constructor(
    private readonly file: string,
    private readonly schema: ZodType<T>,
    /** Current settings. */
    public current: T,
    private readonly onChange: (cfg: T, changed: string[]) => void,
    private readonly log: Logger,
  ) {
    this.#lastModifiedAt = this.#readModifiedAt();
  }

  /** Watches the file until the signal aborts. */
  run(timers: TimerService, signals: ProcessSignals, signal: AbortSignal): void {
    signals.onReload(() => {
      this.reload('SIGHUP');
    }, signal);
    timers.every(
      POLL_INTERVAL_MS,
      () => {
        if (this.#readModifiedAt() !== this.#lastModifiedAt) {
          this.reload('file changed');
        }
      },
      signal,
    );
  }

  /** Reloads the file; calls `onChange` if a top-level setting has changed. */
  reload(reason: string): void {
    this.#lastModifiedAt = this.#readModifiedAt();
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

  #readModifiedAt(): number {
    return statSync(this.file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
  }
}

function changedFields<T extends object>(before: T, after: T): string[] {
  const old = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([name, value]) => JSON.stringify(old.get(name)) !== JSON.stringify(value))
    .map(([name]) => name);
}
