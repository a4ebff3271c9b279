import * as z from 'zod';

const lineSchema = z.looseObject({ msg: z.string(), name: z.string(), time: z.iso.datetime() });

/** Parsed log line of a process. */
export interface LogLine {
  event: string;
  /** Fields specific to the event, without the fields common to all lines. */
  fields: Record<string, unknown>;
  /** Name of the process. */
  process: string;
  /** ISO 8601 time by the clock of the process. */
  time: string;
}

/** Filter for log lines. */
export interface LogQuery {
  /** Selects only lines of this event. */
  event?: string;
  /** Selects only lines that concern this job, task, run, worker, VM or request. */
  id?: string;
}

/** Fields that the logger adds to every line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['hostname', 'level', 'msg', 'name', 'pid', 'time', 'v']);

/** Parses the log lines of a text; ignores any text before the JSON of a line and lines without valid JSON. */
export function readLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"');
    const parsed = start === -1 ? undefined : parseLine(line.slice(start));
    return parsed === undefined ? [] : [parsed];
  });
}

/** Filters the log lines of all processes and sorts them by time. */
export function mergeLogLines(lines: readonly LogLine[], query: LogQuery): LogLine[] {
  return lines
    .filter((line) => query.event === undefined || line.event === query.event)
    .filter((line) => query.id === undefined || isAbout(line, query.id))
    .sort((a, b) => a.time.localeCompare(b.time));
}

/** Formats a log line as plain text. */
export function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [line.time, line.process, line.event, ...fields].join('  ');
}

// The id of a task starts with the id of its job and a dot.
function isAbout(line: LogLine, id: string): boolean {
  return Object.values(line.fields).some(
    (value) => typeof value === 'string' && (value === id || value.startsWith(`${id}.`)),
  );
}

function parseLine(text: string): LogLine | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // A line that was truncated when its process exited is not reliable.
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { msg, name, time } = parsed.data;
  const fields = Object.fromEntries(
    Object.entries(parsed.data).filter(([field]) => !COMMON_FIELDS.has(field)),
  );
  return { fields, event: msg, process: name, time };
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
