import type { HlcClock } from '@sequoiaquay/runtime';
import type { TRPCClient } from '@trpc/client';
import { rpcLinkOptions } from '@sequoiaquay/runtime';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { PeerRouter } from './peer-router';

/** Clients of other entries, one for each address. */
export class PeerClients {
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();

  constructor(
    private readonly secret: string,
    private readonly clock?: HlcClock,
  ) {}

  /** Client of the entry whose peers' interface has the address. */
  at(address: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = createTRPCClient<PeerRouter>({
      links: [httpLink(rpcLinkOptions(address, this.secret, this.clock))],
    });
    this.#clients.set(address, created);
    return created;
  }
}
