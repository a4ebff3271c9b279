import type { Hono } from 'hono';
import type { OperatorEnv } from './operator-http';
import { refuse } from './operator-http';

/** Refuses calls for maintenance waves: the planner that would carry them out is not built. */
export function routeWaves(app: Hono<OperatorEnv>): void {
  app.all('/waves/*', (c) =>
    refuse(c, 404, 'not-available', 'maintenance waves are not available in this version'),
  );
}
