import type { FleetState, RefusalReason, Vm } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { describeProblems, isServing, minServing, servingCount, teamBranchSchema } from '@sequoiaquay/core';
import { Hono } from 'hono';
import * as z from 'zod';
import type { FleetProposal, Proposer } from './proposer';
import { teamOfToken } from './team-auth';

/** Parts of a control process that the operators' interface uses. */
export interface OperatorApiParts {
  proposer: Proposer;
  replica: FleetReplica;
  teamTokens: Record<string, string>;
}

interface Env {
  Variables: { team: string };
}

/** Longest time that an operator waits for the verdict on a change, in ms. */
const VERDICT_TIMEOUT_MS = 10_000;

const drainBodySchema = z.strictObject({
  purpose: z.enum(['reboot', 'remove']).default('reboot'),
});
const moveBodySchema = z.strictObject({ from: z.string().optional(), to: z.string() });

const STATUS_OF_REASON: Partial<Record<RefusalReason, ContentfulStatusCode>> = {
  'bad-record': 422,
  'unknown-pool': 404,
  'unknown-vm': 404,
};

/** Builds the operators' interface, version 1. */
export function createOperatorApi(parts: OperatorApiParts): Hono<Env> {
  const app = new Hono<Env>();
  app.use(async (c, next) => {
    const team = teamOfToken(parts.teamTokens, c.req.header('authorization'));
    if (team === undefined) {
      return c.json(problem(401, 'unauthorized', 'a bearer token of a team is needed'), 401);
    }
    c.set('team', team);
    await next();
    return undefined;
  });
  routeSettings(app, parts);
  routeVms(app, parts);
  return app;
}

function routeSettings(app: Hono<Env>, parts: OperatorApiParts): void {
  app.get('/settings/:team', (c) => {
    const team = c.req.param('team');
    const branch = parts.replica.state.branches.get(team);
    return c.json({ branch: branch?.value ?? null, team, version: branch?.version ?? 0 });
  });
  app.put('/settings/:team', async (c) => {
    const team = c.req.param('team');
    if (team !== c.get('team')) {
      return c.json(problem(403, 'other-team', `the token belongs to team ${c.get('team')}`), 403);
    }
    const base = Number(c.req.header('if-match') ?? Number.NaN);
    if (!Number.isInteger(base) || base < 0) {
      return c.json(
        problem(428, 'no-base', 'If-Match must give the version that the change is based on'),
        428,
      );
    }
    const branch = teamBranchSchema.safeParse(await readJson(c));
    if (!branch.success) {
      return c.json(
        { ...problem(422, 'bad-settings', 'nothing was changed'), problems: describeProblems(branch.error) },
        422,
      );
    }
    return propose(c, parts, { base, branch: branch.data, kind: 'settings-apply', team });
  });
}

function routeVms(app: Hono<Env>, parts: OperatorApiParts): void {
  app.get('/pools', (c) => c.json(listPools(parts.replica.state)));
  app.get('/vms', (c) => c.json([...parts.replica.state.vms.values()].map(describeVm)));
  app.post('/vms/:vm/drain', async (c) => {
    const body = drainBodySchema.safeParse(await readJson(c));
    if (!body.success) {
      return c.json(
        { ...problem(422, 'bad-request', 'nothing was changed'), problems: describeProblems(body.error) },
        422,
      );
    }
    const vm = c.req.param('vm');
    return ownVm(c, parts, vm) ?? propose(c, parts, { kind: 'vm-drain', purpose: body.data.purpose, vm });
  });
  app.post('/vms/:vm/undrain', async (c) => {
    const vm = c.req.param('vm');
    const drain = parts.replica.state.vms.get(vm)?.drain?.id ?? '';
    return ownVm(c, parts, vm) ?? propose(c, parts, { drain, kind: 'vm-undrain', vm });
  });
  app.post('/vms/:vm/move', async (c) => {
    const body = moveBodySchema.safeParse(await readJson(c));
    if (!body.success) {
      return c.json(
        { ...problem(422, 'bad-request', 'nothing was changed'), problems: describeProblems(body.error) },
        422,
      );
    }
    const vm = c.req.param('vm');
    const from = body.data.from ?? parts.replica.state.vms.get(vm)?.pool;
    return (
      ownVm(c, parts, vm) ??
      propose(c, parts, { from, kind: 'vm-drain', purpose: 'move', to: body.data.to, vm })
    );
  });
}

// A team acts on VMs of its own pools and on VMs that no team has.
function ownVm(c: Context<Env>, parts: OperatorApiParts, id: string): Response | undefined {
  const vm = parts.replica.state.vms.get(id);
  const owner = vm === undefined ? undefined : parts.replica.state.poolOwners.get(vm.pool);
  if (owner === undefined || owner === c.get('team')) {
    return undefined;
  }
  return c.json(problem(403, 'other-team', `VM ${id} belongs to a pool of team ${owner}`), 403);
}

async function propose(c: Context<Env>, parts: OperatorApiParts, proposal: FleetProposal): Promise<Response> {
  const proposed = await parts.proposer.propose(
    proposal,
    AbortSignal.timeout(VERDICT_TIMEOUT_MS),
    `team:${c.get('team')}`,
  );
  if (proposed.isErr()) {
    return c.json(
      { ...problem(504, 'no-verdict', proposed.error.message), record: proposed.error.recordId },
      504,
    );
  }
  const { offset, recordId, verdict } = proposed.value;
  if (verdict.isErr()) {
    const status = STATUS_OF_REASON[verdict.error.reason] ?? 409;
    return c.json(
      { ...problem(status, verdict.error.reason, verdict.error.detail), record: recordId },
      status,
    );
  }
  return c.json({ accepted: true, record: recordId, version: offset + 1 });
}

function problem(status: number, reason: string, detail: string): Record<string, number | string> {
  return { detail, reason, status, title: reason, type: 'about:blank' };
}

async function readJson(c: Context): Promise<unknown> {
  const text = await c.req.text();
  try {
    return JSON.parse(text === '' ? '{}' : text);
  } catch {
    return undefined;
  }
}

function listPools(state: FleetState): unknown[] {
  return [...state.poolOwners].map(([pool, team]) => ({
    minServing: minServing(state, pool),
    pool,
    serving: servingCount(state, pool),
    team,
    vms: [...state.vms.values()].filter((vm) => vm.pool === pool).length,
  }));
}

function describeVm(vm: Vm): unknown {
  return {
    ...vm,
    drain: vm.drain && { ...vm.drain, waitingFor: [...vm.drain.waitingFor.keys()] },
    serving: isServing(vm),
  };
}
