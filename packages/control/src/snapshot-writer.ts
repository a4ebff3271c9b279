import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { toSnapshot } from '@sequoiaquay/core';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { Proposer } from './proposer';

/** Settings of the snapshot writer. */
export interface SnapshotWriterSettings {
  /** Period at which the age of the newest snapshot is looked at, in ms. */
  checkMs: number;
  /** Name of this control. */
  member: string;
  /** Time for which the log keeps records, in ms. */
  retentionMs: number;
  /** Records that the log keeps in the `fleet` stream. */
  retentionRecords: number;
}

/** Longest time that a snapshot waits for its verdict, in ms. */
const PROPOSAL_TIMEOUT_MS = 10_000;

/** Share of retention after which the planner writes a snapshot. */
const BASE_SHARE = 1 / 4;

/** Share of retention that a control takes to have passed since a snapshot that it hasn't seen itself. */
const UNSEEN_SHARE = 3 / 16;

/** Controls that are not the planner wait this share of retention longer for each control before them. */
const RANK_SHARE = 1 / 32;

/**
 * Appends a snapshot when the newest one is older than a quarter of retention. The planner comes first; the
 * others follow by rank, so that a lost planner costs no state and several controls seldom write at once.
 */
export class SnapshotWriter {
  #busy = false;
  #newest = 0;
  #newestAt = 0;

  constructor(
    private readonly replica: FleetReplica,
    private readonly proposer: Proposer,
    private readonly settings: SnapshotWriterSettings,
    private readonly timers: TimerService,
  ) {}

  /** Writes snapshots until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#newestAt = this.timers.now() - UNSEEN_SHARE * this.settings.retentionMs;
    this.replica.subscribe((entry, verdict) => {
      if (verdict.isOk() && verdict.value.kind === 'snapshot') {
        this.#newest = entry.offset;
        this.#newestAt = verdict.value.at;
      }
    }, signal);
    this.timers.every(this.settings.checkMs, () => void this.#check(signal), signal);
  }

  async #check(signal: AbortSignal): Promise<void> {
    if (this.#busy || !this.replica.caughtUp || !this.#isDue()) {
      return;
    }
    this.#busy = true;
    const limit = createTimeoutSignal(signal, PROPOSAL_TIMEOUT_MS);
    await this.proposer.propose({ kind: 'snapshot', state: toSnapshot(this.replica.state) }, limit);
    this.#busy = false;
  }

  // A quiet fleet must write snapshots too: time alone trims the newest one.
  #isDue(): boolean {
    const share = BASE_SHARE + this.#rank() * RANK_SHARE;
    const records = this.replica.state.next - this.#newest;
    const age = this.timers.now() - this.#newestAt;
    return (
      records >= Math.max(2, share * this.settings.retentionRecords) ||
      (records > 0 && age >= share * this.settings.retentionMs)
    );
  }

  #rank(): number {
    const { members, planner } = this.replica.state;
    if (planner.member === this.settings.member) {
      return 0;
    }
    const controls = [...members.values()].filter((member) => member.role === 'control');
    return 1 + controls.filter((member) => member.id < this.settings.member).length;
  }
}
