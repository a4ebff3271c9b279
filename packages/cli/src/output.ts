/** What a command prints. */
export interface Output {
  /** Answer as given by the control, for `--json`. */
  json: unknown;
  /** The same in plain lines. */
  lines: string[];
}

/** Formats rows as columns, with the names of the columns first. */
export function formatTable(columns: readonly string[], rows: readonly (readonly unknown[])[]): string[] {
  const cells = [columns, ...rows.map((row) => row.map(formatValue))];
  const widths = columns.map((_, index) => Math.max(...cells.map((row) => (row[index] ?? '').length)));
  return cells.map((row) =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

/** Text of one value; `-` stands for none. */
export function formatValue(value: unknown): string {
  if (value === null || value === undefined || value === '') {
    return '-';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Time in ms since the epoch as ISO text. */
export function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}
