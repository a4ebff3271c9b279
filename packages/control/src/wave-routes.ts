import type { Hono } from 'hono';
import type { OperatorEnv } from './operator-http';
import { refuse } from './operator-http';

/** Refuses all calls for maintenance waves, because no planner for them is implemented. */
export function registerWaveRoutes(app: Hono<OperatorEnv>): void {
  app.all('/waves/*', (c) =>
    refuse(c, 404, 'not-available', 'maintenance waves are not available in this version'),
  );
}
