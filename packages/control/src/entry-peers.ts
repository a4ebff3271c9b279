import type { EntryStatus, PeerRouter, TaskView } from '@sequoiaquay/entry';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { HlcClock, RpcError, TimelineEvent, TimelineQuery } from '@sequoiaquay/runtime';
import type { TRPCClient } from '@trpc/client';
import type { Result } from 'neverthrow';
import { rpcLinkOptions, toRpcResult } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import { err, ok } from 'neverthrow';
import type { ControlRouter } from './control-router';

/** Answer of one process, or why there is none. */
export interface PeerAnswer<T> {
  answer: Result<T, RpcError>;
  /** Name of an entry, or address of a control. */
  name: string;
}

/** Tasks that have not ended: how many there are, and the first of them. */
export interface TaskList {
  live: number;
  tasks: TaskView[];
}

/** Other processes of the system as the operators' interface asks them. */
export interface OperatorPeers {
  /** Status of every entry that has joined in the log. */
  entryStatus: () => Promise<PeerAnswer<EntryStatus>[]>;
  /** A task, as the first entry that answers knows it; null when that entry knows none. */
  findTask: (id: string) => Promise<Result<TaskView | null, RpcError>>;
  /** Tasks that have not ended, as the first entry that answers knows them. */
  listTasks: () => Promise<Result<TaskList, RpcError>>;
  /** Events of every entry and of the other controls. */
  timelines: (query: TimelineQuery) => Promise<PeerAnswer<TimelineEvent[]>[]>;
}

/** Time for one question to another process, in ms. */
const ASK_TIMEOUT_MS = 1500;

/** Asks entries and other controls over tRPC. */
export class RpcPeers implements OperatorPeers {
  readonly #controls: { client: TRPCClient<ControlRouter>; name: string }[];
  readonly #entries = new Map<string, TRPCClient<PeerRouter>>();

  constructor(
    private readonly replica: FleetReplica,
    controls: readonly string[],
    private readonly secret: string,
    private readonly clock: HlcClock,
  ) {
    this.#controls = controls.map((address) => ({
      client: createTRPCClient<ControlRouter>({ links: [httpLink(rpcLinkOptions(address, secret, clock))] }),
      name: address,
    }));
  }

  entryStatus(): Promise<PeerAnswer<EntryStatus>[]> {
    return Promise.all(
      this.#joinedEntries().map(({ client, name }) =>
        ask(name, (signal) => client.status.query(undefined, { signal })),
      ),
    );
  }

  findTask(id: string): Promise<Result<TaskView | null, RpcError>> {
    return this.#askFirst((client, signal) => client.tasks.find.query({ id }, { signal }));
  }

  listTasks(): Promise<Result<TaskList, RpcError>> {
    return this.#askFirst((client, signal) => client.tasks.list.query(undefined, { signal }));
  }

  timelines(query: TimelineQuery): Promise<PeerAnswer<TimelineEvent[]>[]> {
    const entries = this.#joinedEntries().map(({ client, name }) =>
      ask(name, (signal) => client.timeline.query(query, { signal })),
    );
    const controls = this.#controls.map(({ client, name }) =>
      ask(name, (signal) => client.timeline.query(query, { signal })),
    );
    return Promise.all([...entries, ...controls]);
  }

  // Every entry folds all tasks, so that any of them can be asked.
  async #askFirst<T>(
    call: (client: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<T>,
  ): Promise<Result<T, RpcError>> {
    let failure: RpcError = { kind: 'unreachable', message: 'no entry has joined' };
    for (const { client, name } of this.#joinedEntries()) {
      const { answer } = await ask(name, (signal) => call(client, signal));
      if (answer.isOk()) {
        return ok(answer.value);
      }
      failure = answer.error;
    }
    return err(failure);
  }

  #joinedEntries(): { client: TRPCClient<PeerRouter>; name: string }[] {
    return [...this.replica.state.members.values()]
      .filter((member) => member.role === 'entry')
      .sort((a, b) => a.id.localeCompare(b.id))
      .map((member) => ({ client: this.#entryAt(member.address), name: member.id }));
  }

  #entryAt(address: string): TRPCClient<PeerRouter> {
    const known = this.#entries.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = createTRPCClient<PeerRouter>({
      links: [httpLink(rpcLinkOptions(address, this.secret, this.clock))],
    });
    this.#entries.set(address, created);
    return created;
  }
}

async function ask<T>(name: string, call: (signal: AbortSignal) => Promise<T>): Promise<PeerAnswer<T>> {
  return { answer: await toRpcResult(call(AbortSignal.timeout(ASK_TIMEOUT_MS))), name };
}
