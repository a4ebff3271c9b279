import type { VmService } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { toRpcResult, createTimeoutSignal } from '@sequoiaquay/runtime';
import type { LeavingVms } from './leaving-vms';
import type { LiveMembers } from './live-members';
import type { PeerClients } from './peer-clients';

/** Settings of the watch for leaving VMs. */
export interface LeavingWatchSettings {
  name: string;
  /** Period at which the platform's list and one peer are asked, in ms. */
  pollMs: number;
}

/** Time that one question may take, in ms. */
const ASK_TIMEOUT_MS = 1000;

/**
 * Learns of leaving VMs from the platform's list and, for the case that this entry can't reach the platform,
 * from its peers, each asked in turn and two in every period.
 */
export class LeavingWatch {
  #asked = 0;
  #listing = false;

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
        void this.#askList(signal);
        void this.#askNextPeer(signal);
        void this.#askNextPeer(signal);
      },
      signal,
    );
  }

  async #askList(signal: AbortSignal): Promise<void> {
    if (this.#listing) {
      return;
    }
    this.#listing = true;
    const list = await this.vms.listVms(createTimeoutSignal(signal, ASK_TIMEOUT_MS));
    if (list.isOk()) {
      this.leaving.observeList(list.value);
    }
    this.#listing = false;
  }

  async #askNextPeer(signal: AbortSignal): Promise<void> {
    const others = this.members.entries().filter((entry) => entry.name !== this.settings.name);
    const peer = others[this.#asked % Math.max(1, others.length)];
    this.#asked += 1;
    if (peer === undefined) {
      return;
    }
    const limit = createTimeoutSignal(signal, ASK_TIMEOUT_MS);
    const notices = await toRpcResult(this.peers.at(peer.address).leaving.query(undefined, { signal: limit }));
    for (const notice of notices.unwrapOr([])) {
      this.leaving.observe(notice);
    }
  }
}
