import { setMaxListeners } from 'node:events';

/** Part of a process that signals concern. */
export interface SignalSource {
  exit: (code: number) => void;
  on: (signal: 'SIGHUP' | 'SIGINT' | 'SIGTERM', listener: () => void) => unknown;
}

/**
 * Signals of a process, from its first line to its exit: a signal without a listener would end it. Signals come in
 * series, so a repeated request to stop changes nothing; only a second SIGINT, from a terminal, exits at once.
 */
export class ProcessSignals {
  #isInstalled = false;
  #isReloadPending = false;
  #reload: (() => void) | undefined;
  readonly #stop = new AbortController();

  constructor(private readonly source: SignalSource) {
    // Many components of the process listen to this signal; Node warns above 10 listeners by default.
    setMaxListeners(0, this.#stop.signal);
  }

  /** Aborts on SIGTERM or SIGINT. */
  get stop(): AbortSignal {
    this.install();
    return this.#stop.signal;
  }

  /** Installs the listeners, which stay until the process exits. */
  install(): void {
    if (this.#isInstalled) {
      return;
    }
    this.#isInstalled = true;
    this.source.on('SIGHUP', () => {
      this.#onReload();
    });
    this.source.on('SIGTERM', () => {
      this.#stop.abort();
    });
    let isInterrupted = false;
    this.source.on('SIGINT', () => {
      if (isInterrupted) {
        this.source.exit(1);
      }
      isInterrupted = true;
      this.#stop.abort();
    });
  }

  /** Calls back on SIGHUP until the signal aborts, and at once if one came before; replaces an earlier callback. */
  onReload(callback: () => void, signal: AbortSignal): void {
    this.install();
    this.#reload = callback;
    signal.addEventListener('abort', () => {
      this.#reload = this.#reload === callback ? undefined : this.#reload;
    });
    if (this.#isReloadPending) {
      this.#isReloadPending = false;
      callback();
    }
  }

  #onReload(): void {
    this.#isReloadPending = this.#reload === undefined;
    this.#reload?.();
  }
}

/** Signals of this process. */
export const processSignals = new ProcessSignals(process);
