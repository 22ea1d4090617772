const COLUMN_GAP = "  "

/**
 * Formats rows as aligned columns under a title. Without rows, returns the title
 * followed by `: none`.
 */
export function formatTable(
  title: string,
  columns: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  if (rows.length === 0) return `${title}: none\n`
  const cells = [columns, ...rows].map((row) => row.map(String))
  const widths = columns.map((_, index) => Math.max(...cells.map((row) => row[index]?.length ?? 0)))
  const lines = cells.map((row) =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  )
  return `${title}\n${lines.map((line) => `${COLUMN_GAP}${line}\n`).join("")}`
}

/** Formats a value as indented JSON, with a newline at the end. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`
}
