import * as z from 'zod';

const lineSchema = z.looseObject({ msg: z.string(), name: z.string(), time: z.iso.datetime() });

/** One line of a process's log. */
export interface LogLine {
  /** All that decided, without the fields that every line has. */
  fields: Record<string, unknown>;
  event: string;
  /** Name of the process. */
  process: string;
  /** ISO time by the clock of the process. */
  time: string;
}

/** What lines to select. */
export interface LogQuery {
  /** Events of this name only. */
  event?: string;
  /** Lines about this job, task, run, worker, VM or request only. */
  id?: string;
}

/** Fields that the logger adds to every line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['hostname', 'level', 'msg', 'name', 'pid', 'time', 'v']);

/** Reads the log lines in a text; what comes before the JSON of a line, and other lines, are passed over. */
export function readLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"');
    const parsed = start === -1 ? undefined : parseLine(line.slice(start));
    return parsed === undefined ? [] : [parsed];
  });
}

/** Selects lines and puts those of all processes in the order of their time. */
export function mergeLogLines(lines: readonly LogLine[], query: LogQuery): LogLine[] {
  return lines
    .filter((line) => query.event === undefined || line.event === query.event)
    .filter((line) => query.id === undefined || isAbout(line, query.id))
    .sort((a, b) => a.time.localeCompare(b.time));
}

/** A line as plain text. */
export function formatLogLine(line: LogLine): string {
  const data = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [line.time, line.process, line.event, ...data].join('  ');
}

// The name of a task begins with the id of its job.
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
    // A line that was cut off when its process ended says nothing that can be trusted.
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { msg, name, time } = parsed.data;
  const data = Object.fromEntries(Object.entries(parsed.data).filter(([field]) => !COMMON_FIELDS.has(field)));
  return { fields: data, event: msg, process: name, time };
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
