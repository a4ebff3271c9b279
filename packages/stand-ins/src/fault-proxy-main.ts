import { listen } from '@sequoiaquay/runtime';
import { cac } from 'cac';
import { Hono } from 'hono';
import * as z from 'zod';
import { FaultRoute, routeFaultsSchema } from './fault-proxy';

const routeSchema = z.strictObject({
  host: z.string(),
  listenPort: z.int(),
  port: z.int(),
});

const cli = cac('stand-in-fault-proxy');
cli.option('--admin <address>', 'host:port of the admin interface', { default: '127.0.0.1:7300' });
const { options } = cli.parse();

const routes = new Map<string, FaultRoute>();
const app = new Hono();
app.get('/healthz', (c) => c.json({ ok: true }));
app.put('/routes/:name', async (c) => {
  const { host, listenPort, port } = routeSchema.parse(await c.req.json());
  const route = new FaultRoute({ host, port });
  await route.listen(listenPort);
  routes.set(c.req.param('name'), route);
  return c.json({ accepted: true });
});
app.put('/faults/:name', async (c) => {
  const faults = routeFaultsSchema.parse(await c.req.json());
  const route = routes.get(c.req.param('name'));
  route?.setFaults(faults);
  return c.json({ accepted: route !== undefined }, route === undefined ? 404 : 200);
});
await listen(app, String(options.admin));
