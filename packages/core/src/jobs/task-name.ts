/** Name of a task, in its parts. */
export interface TaskName {
  /** Number of the task in its step. */
  index: number;
  jobId: string;
  /** Number of the occurrence of a job with a schedule; 0 for others. */
  occurrence: number;
  step: number;
}

const PARTS = 4;

/** Text form of a task's name. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Reads the text form of a task's name; undefined when it is none. */
export function parseTaskName(text: string): TaskName | undefined {
  const parts = text.split('.');
  const [jobId, occurrence, step, index] = parts;
  const numbers = [occurrence, step, index].map(Number);
  if (parts.length !== PARTS || jobId === undefined || !numbers.every(Number.isInteger)) {
    return undefined;
  }
  return { index: Number(index), jobId, occurrence: Number(occurrence), step: Number(step) };
}
