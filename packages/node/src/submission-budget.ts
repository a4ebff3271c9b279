/** A job above this size, in bytes, counts as large: an ordinary one has a text of 4,000 bytes and a few steps. */
export const LARGE_JOB_BYTES = 65_536;

/** Share of the budget that large jobs may take, so that ordinary ones find room beside them. */
const LARGE_JOB_SHARE = 0.75;

/**
 * Memory for the jobs that are being stored. Addresses many small bodies that become large jobs, which are held until
 * the store has answered: the bytes of the bodies say little of them.
 */
export class SubmissionBudget {
  #heldBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Memory that is taken, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Takes the memory of a job until `release`; false if there is no room. */
  take(bytes: number): boolean {
    const maxBytes = bytes > LARGE_JOB_BYTES ? this.maxBytes * LARGE_JOB_SHARE : this.maxBytes;
    if (this.#heldBytes > 0 && this.#heldBytes + bytes > maxBytes) {
      return false;
    }
    this.#heldBytes += bytes;
    return true;
  }

  /** Returns the memory of a job. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
