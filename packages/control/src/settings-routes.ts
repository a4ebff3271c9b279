import type { TeamBranch } from '@sequoiaquay/core';
import type { Hono } from 'hono';
import { checkValue, nameSchema, settingsDifference, teamBranchSchema } from '@sequoiaquay/core';
import type { OperatorApiDependencies, OperatorContext, OperatorEnv } from './operator-http';
import { readJson, refuse, refuseInvalid } from './operator-http';
import { proposeChange } from './operator-proposal';

/** Registers the routes that read and change the settings of teams. */
export function registerSettingsRoutes(app: Hono<OperatorEnv>, deps: OperatorApiDependencies): void {
  app.get('/settings/:team', (c) => {
    const team = c.req.param('team');
    if (!nameSchema.safeParse(team).success) {
      return refuse(c, 404, 'unknown-team', `${JSON.stringify(team)} is not a name of a team`);
    }
    const branch = deps.replica.state.branches.get(team);
    return c.json({ branch: branch?.value ?? null, team, version: branch?.version ?? 0 });
  });
  app.get('/settings/:team/history', (c) => {
    const team = c.req.param('team');
    if (!nameSchema.safeParse(team).success) {
      return refuse(c, 404, 'unknown-team', `${JSON.stringify(team)} is not a name of a team`);
    }
    return c.json({ changes: deps.history.getChanges(team), since: deps.journal.oldestOffset ?? null, team });
  });
  app.put('/settings/:team', (c) => changeSettings(c, deps, c.req.param('team')));
}

async function changeSettings(
  c: OperatorContext,
  deps: OperatorApiDependencies,
  team: string,
): Promise<Response> {
  if (team !== c.get('team')) {
    return refuse(c, 403, 'other-team', `the token belongs to team ${c.get('team')}`);
  }
  const base = parseVersion(c.req.header('if-match'));
  if (base === undefined) {
    return refuse(c, 428, 'no-base', 'If-Match must give the version that the change is based on');
  }
  const branch = checkValue(teamBranchSchema, await readJson(c));
  if (branch.isErr()) {
    return refuseInvalid(c, 'bad-settings', branch.error);
  }
  const proposal = { base, branch: branch.value, kind: 'settings-apply', team } as const;
  return proposeChange(c, deps, proposal, (refusal) =>
    refusal.reason === 'stale-base' ? describeStaleBase(deps, team, base, branch.value) : {},
  );
}

function describeStaleBase(
  deps: OperatorApiDependencies,
  team: string,
  base: number,
  proposed: TeamBranch,
): Record<string, unknown> {
  const current = deps.replica.state.branches.get(team);
  return {
    changedSince: deps.history.getChanges(team).filter((change) => change.accepted && change.version > base),
    difference: settingsDifference(current?.value, proposed),
    version: current?.version ?? 0,
  };
}

function parseVersion(header: string | undefined): number | undefined {
  return header !== undefined && /^\d{1,15}$/.test(header) ? Number(header) : undefined;
}
