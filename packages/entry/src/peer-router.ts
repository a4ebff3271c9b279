import type { TaskTable } from '@sequoiaquay/core';
import type { EventRing } from '@sequoiaquay/runtime';
import { timelineQuerySchema } from '@sequoiaquay/runtime';
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import type { ClaimLookup } from './claim-lookup';
import type { EntryStatus } from './entry-status';
import type { LeavingVms } from './leaving-vms';
import type { QueueService } from './queue-service';
import { createQueueRouter } from './queue-router';
import { toTaskView } from './tasks/task-api';

/** Components that the peer procedures use. */
export interface PeerRouterDependencies {
  claims: ClaimLookup;
  leaving: LeavingVms;
  name: string;
  queues: QueueService;
  ring: EventRing;
  status: () => EntryStatus;
  tasks: TaskTable;
}

/** Maximum tasks in one list response. */
const MAX_LISTED_TASKS = 500;

const t = initTRPC.create();

/** Creates the tRPC procedures that an entry serves to other entries; one sub-router per concern. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createPeerRouter(deps: PeerRouterDependencies) {
  return t.router({
    claims: t.router({
      outcome: t.procedure
        .input(z.object({ claim: z.string(), key: z.string(), scope: z.string() }))
        .query(({ input }) => deps.claims.getStatus(input)),
    }),
    leaving: t.procedure.query(() => deps.leaving.list()),
    queue: createQueueRouter(deps.queues),
    ping: t.procedure.query(() => ({ name: deps.name })),
    status: t.procedure.query(() => deps.status()),
    tasks: t.router({
      find: t.procedure.input(z.object({ id: z.string().max(200) })).query(({ input }) => {
        const task = deps.tasks.find(input.id);
        return task === undefined ? null : toTaskView(task);
      }),
      list: t.procedure.query(() => {
        const live = deps.tasks.liveTasks();
        return { live: live.length, tasks: live.slice(0, MAX_LISTED_TASKS).map(toTaskView) };
      }),
    }),
    timeline: t.procedure.input(timelineQuerySchema).query(({ input }) => deps.ring.select(input)),
  });
}

/** Type of the router, from which clients derive their call types. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
