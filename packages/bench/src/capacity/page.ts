import { readFileSync } from 'node:fs';
import type { Slope } from './slope';

/** Largest difference between the page and a run, as a share; counts repeat exactly but for name lengths. */
export const TOLERANCE = 0.05;

/** A slope that the page doesn't give as measured. */
export interface PageMismatch {
  id: string;
  measured: number;
  /** Value on the page, or undefined when the page lacks the slope. */
  page: number | undefined;
}

/** Reads the slopes of the page: rows of the form "| `id` | value | unit |". */
export function readPage(file: string): Map<string, number> {
  const slopes = new Map<string, number>();
  for (const line of readFileSync(file, 'utf8').split('\n')) {
    const row = /^\|\s*`([a-z0-9-]+)`\s*\|\s*([\d.]+)\s*\|/.exec(line);
    if (row !== null) {
      slopes.set(row[1] ?? '', Number(row[2]));
    }
  }
  return slopes;
}

/** Finds the reproducible slopes that the page doesn't give within the tolerance. */
export function findMismatches(slopes: readonly Slope[], page: ReadonlyMap<string, number>): PageMismatch[] {
  return slopes
    .filter((slope) => slope.reproducible)
    .map((slope) => ({ id: slope.id, measured: slope.value, page: page.get(slope.id) }))
    .filter(({ measured, page: value }) => value === undefined || isOff(value, measured));
}

function isOff(page: number, measured: number): boolean {
  return Math.abs(page - measured) > TOLERANCE * Math.max(Math.abs(measured), 1e-9);
}
