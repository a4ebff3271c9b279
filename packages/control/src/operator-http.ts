import type { FleetReplica } from '@sequoiaquay/platform';
import type { EventRing } from '@sequoiaquay/runtime';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { z } from 'zod';
import { describeProblems } from '@sequoiaquay/core';
import type { OperatorPeers } from './entry-peers';
import type { Journal } from './journal';
import type { Proposer } from './proposer';
import type { SettingsHistory } from './settings-history';

/** Parts of a control process that the operators' interface uses. */
export interface OperatorApiParts {
  history: SettingsHistory;
  journal: Journal;
  /** Whether the log answered last; undefined before the first call. */
  logReachable: () => boolean | undefined;
  /** Name of the control process. */
  name: string;
  peers: OperatorPeers;
  proposer: Proposer;
  replica: FleetReplica;
  ring: EventRing;
  teamTokens: Record<string, string>;
}

/** Variables that the operators' interface keeps for a request. */
export interface OperatorEnv {
  Variables: { team: string };
}

/** Context of a request of an operator. */
export type OperatorContext = Context<OperatorEnv>;

/** Answers with problem JSON; `more` adds members. */
export function refuse(
  c: OperatorContext,
  status: ContentfulStatusCode,
  reason: string,
  detail: string,
  more: Record<string, unknown> = {},
): Response {
  return c.json({ ...more, detail, reason, status, title: reason, type: 'about:blank' }, status);
}

/** Answers that a body or query doesn't fit, with the path of each problem. */
export function refuseInvalid(c: OperatorContext, reason: string, error: z.ZodError): Response {
  return refuse(c, 422, reason, 'nothing was changed', { problems: describeProblems(error) });
}

/** JSON body of a request; an empty body counts as an empty object, a malformed one as undefined. */
export async function readJson(c: OperatorContext): Promise<unknown> {
  const text = await c.req.text();
  try {
    return JSON.parse(text === '' ? '{}' : text);
  } catch {
    return undefined;
  }
}
