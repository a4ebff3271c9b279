import type { FleetReplica } from '@sequoiaquay/platform';
import type { EventRing } from '@sequoiaquay/runtime';
import { toSnapshot } from '@sequoiaquay/core';
import { timelineQuerySchema } from '@sequoiaquay/runtime';
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import type { Relay } from './relay';

/** Parts of a control process that its procedures use. */
export interface ControlRouterParts {
  relay: Relay;
  replica: FleetReplica;
  ring: EventRing;
}

const MAX_WAIT_MS = 10_000;

const t = initTRPC.create();

/** Procedures that a control process serves to entries and other controls. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createControlRouter(parts: ControlRouterParts) {
  return t.router({
    fleetRead: t.procedure
      .input(z.object({ from: z.int().min(0), waitMs: z.int().min(0).max(MAX_WAIT_MS) }))
      .query(async ({ input }) => {
        const page = await parts.relay.read(input.from, AbortSignal.timeout(input.waitMs));
        return {
          ageMs: parts.replica.ageMs ?? null,
          page: page.isOk() ? page.value : null,
          trimmedBelow: page.isErr() ? page.error.oldest : null,
        };
      }),
    fleetSnapshot: t.procedure.query(() => ({
      ageMs: parts.replica.ageMs ?? null,
      caughtUp: parts.replica.caughtUp,
      state: toSnapshot(parts.replica.state),
    })),
    timeline: t.procedure.input(timelineQuerySchema).query(({ input }) => parts.ring.select(input)),
  });
}

/** Type of the procedures of a control process. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
