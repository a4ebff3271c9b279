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

/** Parts of an entry that its peers' procedures use. */
export interface PeerRouterParts {
  claims: ClaimLookup;
  leaving: LeavingVms;
  name: string;
  queues: QueueService;
  ring: EventRing;
  status: () => EntryStatus;
  tasks: TaskTable;
}

/** Most tasks that one answer lists. */
const MAX_LISTED_TASKS = 500;

const t = initTRPC.create();

/** Procedures that an entry serves to other entries; one sub-router per concern. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createPeerRouter(parts: PeerRouterParts) {
  return t.router({
    claims: t.router({
      outcome: t.procedure
        .input(z.object({ claim: z.string(), key: z.string(), scope: z.string() }))
        .query(({ input }) => parts.claims.state(input)),
    }),
    leaving: t.procedure.query(() => parts.leaving.list()),
    queue: createQueueRouter(parts.queues),
    ping: t.procedure.query(() => ({ name: parts.name })),
    status: t.procedure.query(() => parts.status()),
    tasks: t.router({
      find: t.procedure.input(z.object({ id: z.string().max(200) })).query(({ input }) => {
        const task = parts.tasks.find(input.id);
        return task === undefined ? null : toTaskView(task);
      }),
      list: t.procedure.query(() => {
        const live = parts.tasks.liveTasks();
        return { live: live.length, tasks: live.slice(0, MAX_LISTED_TASKS).map(toTaskView) };
      }),
    }),
    timeline: t.procedure.input(timelineQuerySchema).query(({ input }) => parts.ring.select(input)),
  });
}

/** Type of the procedures of an entry. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
