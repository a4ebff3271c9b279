import { readFileSync } from 'node:fs';
import type { Slope } from './slope';

/**
 * Largest accepted difference between a documented and a measured slope, as a share of the measured one. Counts
 * are reproduced exactly, except that byte counts vary with the length of names.
 */
export const MAX_RELATIVE_DIFFERENCE = 0.05;

/** A slope that the capacity page lacks or documents with a different value. */
export interface SlopeMismatch {
  /** Documented value, or undefined when the page lacks the slope. */
  documented: number | undefined;
  id: string;
  measured: number;
}

/** Reads the slopes from the table rows of a Markdown file: "| `id` | value | unit |". */
export function readDocumentedSlopes(file: string): Map<string, number> {
  const slopes = new Map<string, number>();
  for (const line of readFileSync(file, 'utf8').split('\n')) {
    const row = /^\|\s*`([a-z0-9-]+)`\s*\|\s*([\d.]+)\s*\|/.exec(line);
    if (row !== null) {
      slopes.set(row[1] ?? '', Number(row[2]));
    }
  }
  return slopes;
}

/** Returns the reproducible slopes whose documented value is missing or outside the tolerance. */
export function findMismatches(
  slopes: readonly Slope[],
  documented: ReadonlyMap<string, number>,
): SlopeMismatch[] {
  return slopes
    .filter((slope) => slope.isReproducible)
    .map((slope) => ({ documented: documented.get(slope.id), id: slope.id, measured: slope.perUnit }))
    .filter(({ documented: value, measured }) => value === undefined || exceedsTolerance(value, measured));
}

function exceedsTolerance(documented: number, measured: number): boolean {
  return Math.abs(documented - measured) > MAX_RELATIVE_DIFFERENCE * Math.max(Math.abs(measured), 1e-9);
}
