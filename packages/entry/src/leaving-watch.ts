import type { VmService } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { createTimeoutSignal, toRpcResult } from '@sequoiaquay/runtime';
import type { LeavingVms } from './leaving-vms';
import type { LiveMembers } from './live-members';
import type { PeerClients } from './peer-clients';

/** Settings of the watch for leaving VMs. */
export interface LeavingWatchSettings {
  name: string;
  /** Interval at which the platform's VM list and two peers are polled, in ms. */
  pollMs: number;
}

/** Timeout of one query, in ms. */
const QUERY_TIMEOUT_MS = 1000;

/**
 * Polls the platform's VM list for leaving VMs. Also polls the peers, two per interval in rotation, in case
 * this entry can't reach the platform.
 */
export class LeavingWatch {
  #peerQueryCount = 0;
  #isListing = false;

  constructor(
    private readonly leaving: LeavingVms,
    private readonly vms: VmService,
    private readonly members: LiveMembers,
    private readonly peers: PeerClients,
    private readonly settings: LeavingWatchSettings,
    private readonly timers: TimerService,
  ) {}

  /** Polls until the signal aborts. */
  start(signal: AbortSignal): void {
    this.timers.every(
      this.settings.pollMs,
      () => {
        void this.#pollList(signal);
        void this.#pollNextPeer(signal);
        void this.#pollNextPeer(signal);
      },
      signal,
    );
  }

  async #pollList(signal: AbortSignal): Promise<void> {
    if (this.#isListing) {
      return;
    }
    this.#isListing = true;
    const list = await this.vms.listVms(createTimeoutSignal(signal, QUERY_TIMEOUT_MS));
    if (list.isOk()) {
      this.leaving.applyList(list.value);
    }
    this.#isListing = false;
  }

  async #pollNextPeer(signal: AbortSignal): Promise<void> {
    const others = this.members.entries().filter((entry) => entry.name !== this.settings.name);
    const peer = others[this.#peerQueryCount % Math.max(1, others.length)];
    this.#peerQueryCount += 1;
    if (peer === undefined) {
      return;
    }
    const timeout = createTimeoutSignal(signal, QUERY_TIMEOUT_MS);
    const notices = await toRpcResult(
      this.peers.getClient(peer.address).leaving.query(undefined, { signal: timeout }),
    );
    for (const notice of notices.unwrapOr([])) {
      this.leaving.applyNotice(notice);
    }
  }
}
