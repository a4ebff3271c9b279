/** Components of a task's name. */
export interface TaskName {
  /** Index of the task in its step. */
  index: number;
  jobId: string;
  /** Index of the occurrence of a job with a schedule; 0 for other jobs. */
  occurrence: number;
  /** Index of the step in its job. */
  step: number;
}

const PART_COUNT = 4;

/** Formats a task's name as text. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Parses the text form of a task's name; undefined if it is invalid. */
export function parseTaskName(text: string): TaskName | undefined {
  const parts = text.split('.');
  const [jobId, occurrence, step, index] = parts;
  const numbers = [occurrence, step, index].map(Number);
  if (parts.length !== PART_COUNT || jobId === undefined || !numbers.every(Number.isInteger)) {
    return undefined;
  }
  return { index: Number(index), jobId, occurrence: Number(occurrence), step: Number(step) };
}
