import { mountRpc } from '@sequoiaquay/runtime';
import { initTRPC } from '@trpc/server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { createMiddleware } from 'hono/factory';
import * as z from 'zod';
import type { PeerIntake } from './peer-intake';
import { MAX_CALL_BYTES, MAX_CALL_MS, MAX_CALL_RECORDS } from './peer-limits';

/** Most calls in progress. */
const MAX_CALLS = 160;

const STATUS_TOO_MANY_CALLS = 429;

const storeSchema = z.object({
  epoch: z.int(),
  limitMs: z.number().min(0).max(MAX_CALL_MS),
  records: z.array(z.object({ key: z.string(), value: z.string() })).max(MAX_CALL_RECORDS),
});

const t = initTRPC.create();

/** Creates the procedures that a node serves to the other nodes. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createPeerRouter(intake: PeerIntake) {
  return t.router({
    status: t.procedure
      .input(z.object({ epoch: z.int() }))
      .query(({ input }) => ({ leads: intake.leads(input.epoch) })),
    store: t.procedure.input(storeSchema).mutation(async ({ input }) => (await intake.store(input)) ?? null),
  });
}

/** Type of the router, from which clients derive their call types. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/**
 * Creates the application for the calls of other nodes. `secret` returns the secret of the node's last term;
 * without one all calls are refused. A body is decoded only after the secret was checked.
 */
export function createPeerApp(intake: PeerIntake, secret: () => string | undefined): Hono {
  const app = new Hono();
  let callCount = 0;
  const limitCalls = createMiddleware(async (c, next) => {
    if (callCount >= MAX_CALLS) {
      return c.json({ error: 'too many calls' }, STATUS_TOO_MANY_CALLS);
    }
    callCount += 1;
    try {
      await next();
    } finally {
      callCount -= 1;
    }
    return undefined;
  });
  mountRpc(app, createPeerRouter(intake), secret, undefined, [
    limitCalls,
    bodyLimit({ maxSize: MAX_CALL_BYTES }),
  ]);
  return app;
}
