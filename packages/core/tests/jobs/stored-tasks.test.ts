import { describe, expect, it } from 'vitest';
import type { TaskRecord } from '../../src/jobs';
import { StoredTasks } from '../../src/jobs';

function record(task: string, state: TaskRecord['state']): TaskRecord {
  return { checkpoint: '', failures: 0, run: 1, state, task, workerId: '' };
}

// Guards against tasks that run again, or records that are left behind, since a leader keeps only indexes of the tasks
// that are done.
describe('StoredTasks', () => {
  it('returns the tasks of a job that are done by step, and the records of the others', () => {
    const tasks = new StoredTasks();
    const waiting = record('j.0.1.0', 'waiting');
    const stored = [record('j.0.0.3', 'done'), record('j.0.0.1', 'done'), waiting, record('j.2.0.0', 'done')];
    [...stored, record('k.0.0.0', 'done')].forEach((item) => {
      tasks.add(item);
    });
    expect(tasks.size).toBe(5);
    expect(tasks.take('j')).toEqual({
      done: [
        { indexes: [3, 1], occurrence: 0, step: 0 },
        { indexes: [0], occurrence: 2, step: 0 },
      ],
      records: [waiting],
    });
    expect(tasks.take('j')).toEqual({ done: [], records: [] });
  });

  it('names the tasks that have not been taken', () => {
    const tasks = new StoredTasks();
    ['j.0.0.0', 'k.0.0.0', 'k.1.2.3', 'odd'].forEach((name) => {
      tasks.add(record(name, 'done'));
    });
    tasks.add(record('k.0.0.1', 'assigned'));
    tasks.take('j');
    expect([...tasks.names()].sort()).toEqual(['k.0.0.0', 'k.0.0.1', 'k.1.2.3', 'odd']);
  });
});
