import { initTRPC } from '@trpc/server';
import type { QueueService } from './queue-service';
import { acquireSchema, releaseSchema, renewSchema, reportSchema } from './queue-messages';

const t = initTRPC.create();

/** Creates the tRPC procedures of the pool queues that this entry owns. */
// The router type is inferred: clients derive their call types from it.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createQueueRouter(queues: QueueService) {
  return t.router({
    acquire: t.procedure
      .input(acquireSchema)
      .mutation(({ input, signal }) => queues.acquire(input, signal ?? new AbortController().signal)),
    release: t.procedure.input(releaseSchema).mutation(({ input }) => {
      queues.release(input, 'remote');
    }),
    renew: t.procedure.input(renewSchema).mutation(({ input }) => queues.renew(input)),
    report: t.procedure.input(reportSchema).mutation(({ input }) => {
      queues.report(input);
    }),
  });
}
