import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { resolve } from 'node:path';

// Tests and the bench tool run in the root of the workspace. The variable lets a proof run against the entry
// and control binaries of another version.
const DIST = process.env.SEQUOIAQUAY_DIST ?? `${resolve('dist')}/`;

/** A bundled binary that runs as a separate process. */
export class BinaryProcess {
  readonly #child: ChildProcess;
  readonly exited: Promise<number | null>;

  constructor(binary: string, args: readonly string[], logFile: string) {
    const output = openSync(logFile, 'a');
    this.#child = spawn(`${DIST}${binary}.mjs`, args, {
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    this.exited = new Promise((resolve) => {
      this.#child.once('exit', (code) => {
        resolve(code);
      });
    });
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? -1;
  }

  /** Sends a signal and, for those that end the process, waits for its end. */
  async stop(signal: 'SIGKILL' | 'SIGTERM' = 'SIGKILL'): Promise<number | null> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
      return this.#child.exitCode;
    }
    this.#child.kill(signal);
    return this.exited;
  }

  /** Freezes the process. */
  freeze(): void {
    this.#child.kill('SIGSTOP');
  }

  /** Lets a frozen process go on. */
  resume(): void {
    this.#child.kill('SIGCONT');
  }
}
