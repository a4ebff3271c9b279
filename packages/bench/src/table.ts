/** Table in Markdown with aligned columns. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((_, column) =>
    Math.max(3, ...[header, ...rows].map((row) => (row[column] ?? '').length)),
  );
  const line = (row: readonly string[]): string =>
    `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`;
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [line(header), rule, ...rows.map(line)].join('\n');
}
