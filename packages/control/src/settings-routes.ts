import type { TeamBranch } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { nameSchema, settingsDifference, teamBranchSchema } from '@sequoiaquay/core';
import type { OperatorApiParts, OperatorContext, OperatorEnv } from './operator-http';
import { readJson, refuse, refuseInvalid } from './operator-http';
import { propose } from './operator-proposal';

/** Routes that read and change the settings of teams. */
export function routeSettings(app: Hono<OperatorEnv>, parts: OperatorApiParts): void {
  app.get('/settings/:team', (c) => {
    const team = c.req.param('team');
    if (!nameSchema.safeParse(team).success) {
      return refuse(c, 404, 'unknown-team', `${JSON.stringify(team)} is not a name of a team`);
    }
    const branch = parts.replica.state.branches.get(team);
    return c.json({ branch: branch?.value ?? null, team, version: branch?.version ?? 0 });
  });
  app.get('/settings/:team/history', (c) => {
    const team = c.req.param('team');
    if (!nameSchema.safeParse(team).success) {
      return refuse(c, 404, 'unknown-team', `${JSON.stringify(team)} is not a name of a team`);
    }
    return c.json({ changes: parts.history.of(team), since: parts.journal.oldest ?? null, team });
  });
  app.put('/settings/:team', (c) => changeSettings(c, parts, c.req.param('team')));
}

async function changeSettings(c: OperatorContext, parts: OperatorApiParts, team: string): Promise<Response> {
  if (team !== c.get('team')) {
    return refuse(c, 403, 'other-team', `the token belongs to team ${c.get('team')}`);
  }
  const base = parseVersion(c.req.header('if-match'));
  if (base === undefined) {
    return refuse(c, 428, 'no-base', 'If-Match must give the version that the change is based on');
  }
  const branch = teamBranchSchema.safeParse(await readJson(c));
  if (!branch.success) {
    return refuseInvalid(c, 'bad-settings', branch.error);
  }
  const proposal = { base, branch: branch.data, kind: 'settings-apply', team } as const;
  return propose(c, parts, proposal, (refusal) =>
    refusal.reason === 'stale-base' ? staleBase(parts, team, base, branch.data) : {},
  );
}

function staleBase(
  parts: OperatorApiParts,
  team: string,
  base: number,
  wanted: TeamBranch,
): Record<string, unknown> {
  const current = parts.replica.state.branches.get(team);
  return {
    changedSince: parts.history.of(team).filter((change) => change.accepted && change.version > base),
    difference: settingsDifference(current?.value, wanted),
    version: current?.version ?? 0,
  };
}

function parseVersion(header: string | undefined): number | undefined {
  return header !== undefined && /^\d{1,15}$/.test(header) ? Number(header) : undefined;
}
