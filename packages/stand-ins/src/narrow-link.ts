/** Size of the pieces that the connections of a link take turns with, in bytes. */
export const LINK_PIECE_BYTES = 4096;

/** Time that a link may make up for after a late timer, in ms. */
const MAX_CATCH_UP_MS = 20;

const MS_PER_S = 1000;

/** Bandwidth that all connections of a node share, one rate for each direction. */
export class NarrowLink {
  readonly #freeAt = { down: 0, up: 0 };

  /** `bytesPerS` is the rate in bytes per second; undefined means unlimited. It can change at any time. */
  constructor(public bytesPerS: number | undefined) {}

  /** Resolves when the link has carried a number of bytes, after those of all earlier calls. */
  async carry(bytes: number, direction: 'down' | 'up'): Promise<void> {
    if (this.bytesPerS === undefined) {
      return;
    }
    const now = performance.now();
    const startsAt = Math.max(now - MAX_CATCH_UP_MS, this.#freeAt[direction]);
    const endsAt = startsAt + (bytes / this.bytesPerS) * MS_PER_S;
    this.#freeAt[direction] = endsAt;
    if (endsAt > now) {
      await new Promise((resolve) => {
        setTimeout(resolve, endsAt - now);
      });
    }
  }
}
