import { describe, expect, it } from 'vitest';
import { formatLogLine, mergeLogLines, readLogLines } from '../src/log-lines';

const LINES = [
  '{"name":"b","level":30,"task":"00000bb87a21d94b.0.0.1","run":1,"msg":"task-assigned","time":"2026-01-01T00:00:02.000Z","v":0}',
  '   1.5 a {"name":"a","level":30,"job":"00000bb87a21d94b","answer":{"kind":"accepted"},"msg":"request answered","time":"2026-01-01T00:00:01.000Z","v":0}',
  '{"name":"a","level":30,"job":"ffffffffffffffff","msg":"job-ended","time":"2026-01-01T00:00:03.000Z","v":0}',
  '{"name":"a","level":30,"msg":"cut of',
  'no JSON at all',
].join('\n');

describe('log lines', () => {
  it('selects the lines of one job from all processes and sorts them by time', () => {
    const lines = mergeLogLines(readLogLines(LINES), { id: '00000bb87a21d94b' });
    expect(lines.map((line) => line.event)).toEqual(['request answered', 'task-assigned']);
    expect(lines.map(formatLogLine)).toContain(
      '2026-01-01T00:00:02.000Z  b  task-assigned  task=00000bb87a21d94b.0.0.1  run=1',
    );
  });

  it('ignores truncated lines and text that is not a log line', () => {
    expect(readLogLines(LINES)).toHaveLength(3);
  });

  it('selects lines by event name', () => {
    expect(mergeLogLines(readLogLines(LINES), { event: 'job-ended' })).toHaveLength(1);
  });
});
