/** Changes the count of a key by `change`; a count that reaches 0 is removed. */
export function addTo<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) {
    counts.delete(key);
  } else {
    counts.set(key, count);
  }
}
