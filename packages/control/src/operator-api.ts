import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { OperatorApiParts, OperatorContext, OperatorEnv } from './operator-http';
import { routeExplain } from './explain-routes';
import { refuse } from './operator-http';
import { routeSettings } from './settings-routes';
import { routeStatus } from './status-routes';
import { teamOfToken } from './team-auth';
import { routeVms } from './vm-routes';
import { routeWaves } from './wave-routes';

/** Largest body of an operator's request, in bytes; the log takes a branch as one record. */
const MAX_BODY_BYTES = 1_048_576;

/** Part of a body that is too large that is still read, in bytes. */
const MAX_DROPPED_BYTES = 16 * MAX_BODY_BYTES;

/** Builds the operators' interface, version 1. */
export function createOperatorApi(parts: OperatorApiParts): Hono<OperatorEnv> {
  const app = new Hono<OperatorEnv>();
  app.use(async (c, next) => {
    const team = teamOfToken(parts.teamTokens, c.req.header('authorization'));
    if (team === undefined) {
      return refuse(c, 401, 'unauthorized', 'a bearer token of a team is needed');
    }
    c.set('team', team);
    await next();
    return undefined;
  });
  app.use(
    bodyLimit({
      maxSize: MAX_BODY_BYTES,
      onError: async (c: OperatorContext) => {
        await dropBody(c.req.raw);
        return refuse(c, 413, 'request-too-large', `the body is larger than ${MAX_BODY_BYTES} bytes`);
      },
    }),
  );
  routeSettings(app, parts);
  routeVms(app, parts);
  routeStatus(app, parts);
  routeExplain(app, parts);
  routeWaves(app);
  return app;
}

// A client that still sends would see its connection cut instead of the refusal.
async function dropBody({ body }: Request): Promise<void> {
  let dropped = 0;
  for await (const chunk of body ?? []) {
    dropped += (chunk as Uint8Array).length;
    if (dropped > MAX_DROPPED_BYTES) {
      return;
    }
  }
}
