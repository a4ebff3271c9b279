import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { OperatorApiDependencies, OperatorContext, OperatorEnv } from './operator-http';
import { registerExplainRoute } from './explain-routes';
import { refuse } from './operator-http';
import { registerSettingsRoutes } from './settings-routes';
import { registerStatusRoutes } from './status-routes';
import { findTeamByToken } from './team-auth';
import { registerVmRoutes } from './vm-routes';
import { registerWaveRoutes } from './wave-routes';

/** Largest body of an operator's request, in bytes; a team's settings are appended as one log record. */
const MAX_BODY_BYTES = 1_048_576;

/** Most bytes that are read and discarded of a body that is too large. */
const MAX_DISCARDED_BYTES = 16 * MAX_BODY_BYTES;

/** Creates version 1 of the operator API; every route requires the bearer token of a team. */
export function createOperatorApi(deps: OperatorApiDependencies): Hono<OperatorEnv> {
  const app = new Hono<OperatorEnv>();
  app.use(async (c, next) => {
    const team = findTeamByToken(deps.teamTokens, c.req.header('authorization'));
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
        await discardBody(c.req.raw);
        return refuse(c, 413, 'request-too-large', `the body is larger than ${MAX_BODY_BYTES} bytes`);
      },
    }),
  );
  registerSettingsRoutes(app, deps);
  registerVmRoutes(app, deps);
  registerStatusRoutes(app, deps);
  registerExplainRoute(app, deps);
  registerWaveRoutes(app);
  return app;
}

// A client that is still sending would see a connection reset instead of the refusal.
async function discardBody({ body }: Request): Promise<void> {
  let discardedBytes = 0;
  for await (const chunk of body ?? []) {
    discardedBytes += (chunk as Uint8Array).length;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      return;
    }
  }
}
