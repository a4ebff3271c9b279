/** Most records in one append. */
const MAX_BATCH_SIZE = 200;

/** What the choice of the records of an append depends on. */
export interface BatchItem {
  /** Size of the keys and values to store, in bytes. */
  bytes: number;
  /** Whether the record is appended by itself, since the store rejected it together with others. */
  isAlone: boolean;
  /** Whether an append took records that came later, since this one is too large to share one. */
  isPassedOver: boolean;
  /** Whether the record is retried until its deadline, even if the store refuses it. */
  isPersistent: boolean;
}

/**
 * Chooses the waiting records of the next append, in their order, and marks those that are passed over. Addresses a slow
 * store: each append then begins with a heartbeat, beside which a caller's large record has no room, and other records
 * must not wait behind it. Persistent records, which are the leader's, are not passed over, since their order matters.
 */
export function takeBatch<T extends BatchItem>(waiting: readonly T[], maxBytes: number): T[] {
  const [first, ...others] = waiting;
  if (first === undefined || first.isAlone) {
    return waiting.slice(0, 1);
  }
  const batch = [first];
  let { bytes } = first;
  for (const item of others) {
    if (!item.isAlone && bytes + item.bytes <= maxBytes && batch.length < MAX_BATCH_SIZE) {
      batch.push(item);
      bytes += item.bytes;
    } else if (!item.isPersistent && item.bytes > maxBytes) {
      item.isPassedOver = true;
    } else {
      break;
    }
  }
  return batch;
}
