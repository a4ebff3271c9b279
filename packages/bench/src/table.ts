/** Formats a Markdown table with aligned columns. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((_, column) =>
    Math.max(3, ...[header, ...rows].map((row) => (row[column] ?? '').length)),
  );
  const formatRow = (row: readonly string[]): string =>
    `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const separator = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [formatRow(header), separator, ...rows.map(formatRow)].join('\n');
}
