import type { HlcClock } from '@sequoiaquay/runtime';
import type { TRPCClient } from '@trpc/client';
import { rpcLinkOptions } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { PeerRouter } from './peer-router';

/** Caches one tRPC client per address of another entry. */
export class PeerClients {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

  constructor(
    private readonly secret: string,
    private readonly clock?: HlcClock,
  ) {}

  /** Returns the client for the peer interface at an address. */
  getClient(address: string): TRPCClient<PeerRouter> {
    const existing = this.#clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const created = createTRPCClient<PeerRouter>({
      links: [httpLink(rpcLinkOptions(address, this.secret, this.clock))],
    });
    this.#clients.set(address, created);
    return created;
  }
}
