import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { resolve } from 'node:path';

// Tests and the bench tool run in the root of the workspace. SEQUOIAQUAY_DIST selects the binaries of another
// version, for example to run a test against them.
const DIST_DIRECTORY = process.env.SEQUOIAQUAY_DIST ?? `${resolve('dist')}/`;

/** Bundled binary that runs as a separate process and appends its output to a log file. */
export class BinaryProcess {
  readonly #child: ChildProcess;
  /** Exit code of the process once it has ended; null if a signal ended it. */
  readonly exited: Promise<number | null>;

  /** `nodeFlags` are flags of the JavaScript runtime. */
  constructor(binary: string, args: readonly string[], logFile: string, nodeFlags: readonly string[] = []) {
    const output = openSync(logFile, 'a');
    this.#child = spawn(`${DIST_DIRECTORY}${binary}.mjs`, args, {
      env: nodeFlags.length > 0 ? { ...process.env, NODE_OPTIONS: nodeFlags.join(' ') } : process.env,
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

  /** Sends a signal, waits for the process to end and returns its exit code (null if a signal ended it). */
  async stop(signal: 'SIGKILL' | 'SIGTERM' = 'SIGKILL'): Promise<number | null> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
      return this.#child.exitCode;
    }
    this.#child.kill(signal);
    return this.exited;
  }

  /** Sends a signal without waiting for its effect. */
  send(signal: 'SIGHUP' | 'SIGINT' | 'SIGTERM'): void {
    this.#child.kill(signal);
  }

  /** Suspends the process (SIGSTOP). */
  freeze(): void {
    this.#child.kill('SIGSTOP');
  }

  /** Resumes a suspended process (SIGCONT). */
  resume(): void {
    this.#child.kill('SIGCONT');
  }
}
