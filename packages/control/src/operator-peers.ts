import type { EntryStatus, PeerRouter, TaskView } from '@sequoiaquay/entry';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { HlcClock, RpcError, TimelineEvent, TimelineQuery } from '@sequoiaquay/runtime';
import type { TRPCClient } from '@trpc/client';
import type { Result } from 'neverthrow';
import { rpcLinkOptions, toRpcResult } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import { err, ok } from 'neverthrow';
import type { ControlRouter } from './control-router';

/** Answer of one process, or the error of the call. */
export interface PeerAnswer<T> {
  answer: Result<T, RpcError>;
  /** Name of an entry, or address of a control process. */
  name: string;
}

/** Tasks that have not ended. */
export interface TaskList {
  /** Number of all such tasks; `tasks` may hold only the first of them. */
  live: number;
  tasks: TaskView[];
}

/** Queries of the operator API to entries and other control processes. */
export interface OperatorPeers {
  /** Returns a task from the first entry that answers; null when that entry has no such task. */
  findTask: (id: string) => Promise<Result<TaskView | null, RpcError>>;
  /** Returns the status of every entry that the fleet state lists as a member. */
  getEntryStatuses: () => Promise<PeerAnswer<EntryStatus>[]>;
  /** Returns the matching timeline events of every entry and of the other control processes. */
  getTimelines: (query: TimelineQuery) => Promise<PeerAnswer<TimelineEvent[]>[]>;
  /** Returns the tasks that have not ended from the first entry that answers. */
  listTasks: () => Promise<Result<TaskList, RpcError>>;
}

/** Timeout of one call to another process, in ms. */
const PEER_TIMEOUT_MS = 1500;

/** Queries entries and other control processes over tRPC. */
export class RpcPeers implements OperatorPeers {
  readonly #controlPeers: { client: TRPCClient<ControlRouter>; name: string }[];
  readonly #entryClients = new Map<string, TRPCClient<PeerRouter>>();

  constructor(
    private readonly replica: FleetReplica,
    controls: readonly string[],
    private readonly secret: string,
    private readonly clock: HlcClock,
  ) {
    this.#controlPeers = controls.map((address) => ({
      client: createTRPCClient<ControlRouter>({ links: [httpLink(rpcLinkOptions(address, secret, clock))] }),
      name: address,
    }));
  }

  getEntryStatuses(): Promise<PeerAnswer<EntryStatus>[]> {
    return Promise.all(
      this.#listEntries().map(({ client, name }) =>
        queryPeer(name, (signal) => client.status.query(undefined, { signal })),
      ),
    );
  }

  findTask(id: string): Promise<Result<TaskView | null, RpcError>> {
    return this.#queryFirst((client, signal) => client.tasks.find.query({ id }, { signal }));
  }

  listTasks(): Promise<Result<TaskList, RpcError>> {
    return this.#queryFirst((client, signal) => client.tasks.list.query(undefined, { signal }));
  }

  getTimelines(query: TimelineQuery): Promise<PeerAnswer<TimelineEvent[]>[]> {
    const entries = this.#listEntries().map(({ client, name }) =>
      queryPeer(name, (signal) => client.timeline.query(query, { signal })),
    );
    const controls = this.#controlPeers.map(({ client, name }) =>
      queryPeer(name, (signal) => client.timeline.query(query, { signal })),
    );
    return Promise.all([...entries, ...controls]);
  }

  // Every entry applies the records of all tasks, so any entry can answer.
  async #queryFirst<T>(
    call: (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<T>,
  ): Promise<Result<T, RpcError>> {
    let lastError: RpcError = { kind: 'unreachable', message: 'no entry has joined' };
    for (const { client, name } of this.#listEntries()) {
      const { answer } = await queryPeer(name, (signal) => call(client, signal));
      if (answer.isOk()) {
        return ok(answer.value);
      }
      lastError = answer.error;
    }
    return err(lastError);
  }

  #listEntries(): { client: TRPCClient<PeerRouter>; name: string }[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .sort((a, b) => a.id.localeCompare(b.id))
      .map((member) => ({ client: this.#getEntryClient(member.address), name: member.id }));
  }

  #getEntryClient(address: string): TRPCClient<PeerRouter> {
    const cached = this.#entryClients.get(address);
    if (cached !== undefined) {
      return cached;
    }
    const created = createTRPCClient<PeerRouter>({
      links: [httpLink(rpcLinkOptions(address, this.secret, this.clock))],
    });
    this.#entryClients.set(address, created);
    return created;
  }
}

async function queryPeer<T>(name: string, call: (signal: AbortSignal) => Promise<T>): Promise<PeerAnswer<T>> {
  return { answer: await toRpcResult(call(AbortSignal.timeout(PEER_TIMEOUT_MS))), name };
}
