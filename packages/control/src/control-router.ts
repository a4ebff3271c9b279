import type { FleetReplica } from '@sequoiaquay/platform';
import type { EventRing } from '@sequoiaquay/runtime';
import { toSnapshot } from '@sequoiaquay/core';
import { timelineQuerySchema } from '@sequoiaquay/runtime';
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import type { Relay } from './relay';

/** Dependencies of the procedures of a control process. */
export interface ControlRouterDependencies {
  relay: Relay;
  replica: FleetReplica;
  ring: EventRing;
}

/** Longest long poll of `fleetRead`, in ms. */
const MAX_WAIT_MS = 10_000;

const t = initTRPC.create();

/** Creates the tRPC procedures that a control process serves to entries and other control processes. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createControlRouter(deps: ControlRouterDependencies) {
  return t.router({
    fleetRead: t.procedure
      .input(z.object({ from: z.int().min(0), waitMs: z.int().min(0).max(MAX_WAIT_MS) }))
      .query(async ({ input }) => {
        const page = await deps.relay.read(input.from, AbortSignal.timeout(input.waitMs));
        return {
          ageMs: deps.replica.ageMs ?? null,
          page: page.isOk() ? page.value : null,
          trimmedBelow: page.isErr() ? page.error.oldest : null,
        };
      }),
    fleetSnapshot: t.procedure.query(() => ({
      ageMs: deps.replica.ageMs ?? null,
      caughtUp: deps.replica.caughtUp,
      state: toSnapshot(deps.replica.state),
    })),
    timeline: t.procedure.input(timelineQuerySchema).query(({ input }) => deps.ring.select(input)),
  });
}

/** Router type from which clients derive their call types. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
