import type { FleetReplica } from '@sequoiaquay/platform';
import type { EventRing } from '@sequoiaquay/runtime';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Journal } from './journal';
import type { OperatorPeers } from './operator-peers';
import type { Proposer } from './proposer';
import type { SettingsHistory } from './settings-history';

/** Dependencies of the operator API. */
export interface OperatorApiDependencies {
  history: SettingsHistory;
  /** Returns whether the last call to the log succeeded; undefined before the first call. */
  isLogReachable: () => boolean | undefined;
  journal: Journal;
  /** Name of this control process. */
  name: string;
  peers: OperatorPeers;
  proposer: Proposer;
  replica: FleetReplica;
  ring: EventRing;
  teamTokens: Record<string, string>;
}

/** Hono environment of the operator API; `team` is the team that the bearer token belongs to. */
export interface OperatorEnv {
  Variables: { team: string };
}

/** Hono context of an operator's request. */
export type OperatorContext = Context<OperatorEnv>;

/** Responds with a problem details object that also has the members of `extra`. */
export function refuse(
  c: OperatorContext,
  status: ContentfulStatusCode,
  reason: string,
  detail: string,
  extra: Record<string, unknown> = {},
): Response {
  return c.json({ ...extra, detail, reason, status, title: reason, type: 'about:blank' }, status);
}

/** Responds with 422 and the validation problems of a body or query. */
export function refuseInvalid(c: OperatorContext, reason: string, problems: readonly string[]): Response {
  return refuse(c, 422, reason, 'nothing was changed', { problems });
}

/** Reads the JSON body of a request: an empty object for an empty body, undefined for a malformed one. */
export async function readJson(c: OperatorContext): Promise<unknown> {
  const text = await c.req.text();
  try {
    return JSON.parse(text === '' ? '{}' : text);
  } catch {
    return undefined;
  }
}
