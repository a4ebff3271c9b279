import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { CommandContext, CommandResult } from './command';
import { usageError } from '../cli-error';
import { formatTable, formatTime, formatValue } from '../output';
import { readChecked } from './command';

const statusSchema = z.object({
  control: z.object({
    logReachable: z.boolean().nullable(),
    name: z.string(),
    next: z.int(),
    stateAgeMs: z.number().nullable(),
  }),
  entries: z.array(
    z.object({
      inFlight: z.int().optional(),
      name: z.string(),
      next: z.int().optional(),
      queued: z.int().optional(),
      reachable: z.boolean(),
      stateAgeMs: z.number().nullable().optional(),
    }),
  ),
  planner: z.object({ epoch: z.int(), member: z.string().optional() }),
  teams: z.array(
    z.object({
      entries: z.int(),
      inForce: z.int(),
      missing: z.array(z.string()),
      team: z.string(),
      version: z.int(),
    }),
  ),
});

const eventSchema = z.object({
  data: z.record(z.string(), z.unknown()),
  hlc: z.object({ count: z.int(), ms: z.int() }),
  id: z.string(),
  kind: z.string(),
  process: z.string(),
});

const timelineSchema = z.object({ events: z.array(eventSchema), silent: z.array(z.string()) });

const explanationSchema = z.object({
  records: z.array(
    z.object({
      accepted: z.boolean(),
      at: z.number(),
      by: z.string(),
      detail: z.string(),
      kind: z.string(),
      offset: z.int(),
      reason: z.string(),
    }),
  ),
  silent: z.array(z.string()),
  summary: z.array(z.string()),
});

const tasksSchema = z.object({
  live: z.int(),
  tasks: z.array(
    z.object({
      acceptedAt: z.number(),
      attempt: z.int(),
      id: z.string(),
      job: z.string(),
      pool: z.string(),
      progress: z.number(),
      state: z.string(),
      worker: z.string().optional(),
    }),
  ),
});

const EXPLAIN_KINDS: readonly string[] = ['vm', 'pool', 'task', 'request'];

/** Prints the number of entries on which each team's settings are in force, and the state of each entry. */
export async function showStatus(context: CommandContext): CommandResult {
  const read = await readChecked(context, '/status', statusSchema);
  return read.map(({ json, value }) => ({
    json,
    lines: [
      `control ${value.control.name}: offset ${value.control.next}, log ${describeLog(value.control.logReachable)}`,
      `planner: ${formatValue(value.planner.member)}, epoch ${value.planner.epoch}`,
      ...value.teams.map(describeTeam),
      ...formatTable(
        ['ENTRY', 'ANSWERS', 'OFFSET', 'STATE AGE MS', 'IN FLIGHT', 'QUEUED'],
        value.entries.map((entry) => [
          entry.name,
          entry.reachable ? 'yes' : 'no',
          entry.next,
          entry.stateAgeMs === undefined || entry.stateAgeMs === null ? null : Math.round(entry.stateAgeMs),
          entry.inFlight,
          entry.queued,
        ]),
      ),
    ],
  }));
}

/** Prints why a VM, pool, task or request is in its current state, with the records that led to it. */
export async function explain(context: CommandContext, kind: string, id: string): CommandResult {
  if (!EXPLAIN_KINDS.includes(kind)) {
    return err(usageError(`kind: the value ${kind} is not allowed; allowed: ${EXPLAIN_KINDS.join(', ')}`));
  }
  const read = await readChecked(context, `/explain/${kind}/${encodeURIComponent(id)}`, explanationSchema);
  return read.map(({ json, value }) => ({
    json,
    lines: [
      ...value.summary,
      ...(value.records.length === 0 ? [] : ['records:']),
      ...value.records.map(
        (record) =>
          `  ${record.offset} ${formatTime(record.at)} ${record.kind} by ${record.by}: ${record.accepted ? 'accepted' : `rejected, ${record.reason} (${record.detail})`}`,
      ),
      ...describeUnresponsive(value.silent),
    ],
  }));
}

/** Prints the events of all processes in causal order. */
export async function showTimeline(
  context: CommandContext,
  query: { id?: string; limit?: string; sinceMs?: string },
): CommandResult {
  const params = new URLSearchParams(Object.entries(query));
  const read = await readChecked(context, `/timeline?${params.toString()}`, timelineSchema);
  return read.andThen(({ json, value }) =>
    ok({ json, lines: [...value.events.map(describeEvent), ...describeUnresponsive(value.silent)] }),
  );
}

/** Prints the tasks that have not ended. */
export async function listTasks(context: CommandContext): CommandResult {
  const read = await readChecked(context, '/tasks', tasksSchema);
  return read.map(({ json, value }) => ({
    json,
    lines: [
      `tasks that have not ended: ${value.live}`,
      ...formatTable(
        ['TASK', 'POOL', 'JOB', 'STATE', 'ATTEMPT', 'WORKER', 'PROGRESS', 'ACCEPTED'],
        value.tasks.map((task) => [
          task.id,
          task.pool,
          task.job,
          task.state,
          task.attempt,
          task.worker,
          `${Math.round(100 * task.progress)}%`,
          formatTime(task.acceptedAt),
        ]),
      ),
    ],
  }));
}

function describeTeam(team: z.infer<typeof statusSchema>['teams'][number]): string {
  const missing = team.missing.length === 0 ? '' : `, not on ${team.missing.join(', ')}`;
  return `team ${team.team}: version ${team.version} in force on ${team.inForce} of ${team.entries} entries${missing}`;
}

function describeEvent(event: z.infer<typeof eventSchema>): string {
  const data = Object.entries(event.data).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [formatTime(event.hlc.ms), event.process, event.kind, event.id, ...data].join(' ');
}

function describeUnresponsive(silent: readonly string[]): string[] {
  return silent.length === 0 ? [] : [`no answer from ${silent.join(', ')}`];
}

function describeLog(reachable: boolean | null): string {
  if (reachable === null) {
    return 'not tried yet';
  }
  return reachable ? 'reachable' : 'unreachable';
}
