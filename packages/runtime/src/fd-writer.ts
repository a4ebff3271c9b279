import { write } from 'node:fs';
import type { TimerService } from './timer-service';

/** Writes bytes to a file descriptor; the callback receives the number of bytes that were written. */
export type WriteBytes = (
  fd: number,
  bytes: Buffer,
  offset: number,
  length: number,
  callback: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Maximum size of a write, in bytes. A pipe takes a write of up to PIPE_BUF bytes completely or not at all;
 * of a larger one it takes the part for which it has space.
 */
export const MAX_WRITE_BYTES = 4096;

/** Pause before a write that a full pipe has refused is tried again, in ms. */
const RETRY_MS = 5;

const RETRIED_ERRORS: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EINTR']);

/** Writes bytes to a file descriptor in small parts, without blocking and also if the descriptor is full. */
export class FdWriter {
  constructor(
    private readonly fd: number,
    private readonly timers: TimerService,
    private readonly writeBytes: WriteBytes = write,
  ) {}

  readonly #neverAborted = new AbortController().signal;

  /** Resolves to the number of bytes that were written, which is lower than their size after an error. */
  async write(bytes: Buffer): Promise<number> {
    let offset = 0;
    while (offset < bytes.length) {
      const { error, written } = await this.#writePart(bytes, offset);
      if (error === null) {
        offset += written;
      } else if (RETRIED_ERRORS.has(error.code)) {
        await this.timers.sleep(RETRY_MS, this.#neverAborted);
      } else {
        return offset;
      }
    }
    return offset;
  }

  #writePart(
    bytes: Buffer,
    offset: number,
  ): Promise<{ error: NodeJS.ErrnoException | null; written: number }> {
    const length = Math.min(MAX_WRITE_BYTES, bytes.length - offset);
    return new Promise((resolve) => {
      this.writeBytes(this.fd, bytes, offset, length, (error, written) => {
        resolve({ error, written });
      });
    });
  }
}
