/** Output of a command. */
export interface Output {
  /** JSON value printed with `--json`, in most cases the response of the control. */
  json: unknown;
  /** The same information as plain text. */
  lines: string[];
}

/** Formats rows as aligned columns below a header row. */
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

/** Formats a value as text; a missing or empty value as `-`. */
export function formatValue(value: unknown): string {
  if (value === null || value === undefined || value === '') {
    return '-';
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Formats a time in ms since the epoch as ISO 8601. */
export function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}
