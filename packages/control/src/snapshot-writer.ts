import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { toSnapshot } from '@sequoiaquay/core';
import { createTimeoutSignal } from '@sequoiaquay/runtime';
import type { Proposer } from './proposer';

/** Settings of the snapshot writer. */
export interface SnapshotWriterSettings {
  /** Interval between checks of the newest snapshot's age, in ms. */
  checkIntervalMs: number;
  /** Name of this control process. */
  member: string;
  /** Time for which the log retains records, in ms. */
  retentionMs: number;
  /** Number of records that the log retains in the `fleet` stream. */
  retentionRecords: number;
}

/** Longest wait for the result of a snapshot proposal, in ms. */
const PROPOSAL_TIMEOUT_MS = 10_000;

/** Age of the newest snapshot at which the planner writes another, as a share of retention. */
const PLANNER_SHARE = 1 / 4;

/** Age assumed at start for a snapshot that this process hasn't read from the log, as a share of retention. */
const ASSUMED_AGE_SHARE = 3 / 16;

/** Further delay per rank of a control process that is not the planner, as a share of retention. */
const SHARE_PER_RANK = 1 / 32;

/**
 * Appends a snapshot when the newest one is older than a quarter of retention. The planner writes first. The
 * other control processes follow in rank order, so that snapshots continue while the planner is down and two
 * processes seldom write at once.
 */
export class SnapshotWriter {
  #isWriting = false;
  #newestOffset = 0;
  #newestAt = 0;

  constructor(
    private readonly replica: FleetReplica,
    private readonly proposer: Proposer,
    private readonly settings: SnapshotWriterSettings,
    private readonly timers: TimerService,
  ) {}

  /** Writes snapshots until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#newestAt = this.timers.now() - ASSUMED_AGE_SHARE * this.settings.retentionMs;
    this.replica.subscribe((entry, result) => {
      if (result.isOk() && result.value.kind === 'snapshot') {
        this.#newestOffset = entry.offset;
        this.#newestAt = result.value.at;
      }
    }, signal);
    this.timers.every(this.settings.checkIntervalMs, () => void this.#writeIfDue(signal), signal);
  }

  async #writeIfDue(signal: AbortSignal): Promise<void> {
    if (this.#isWriting || !this.replica.caughtUp || !this.#isDue()) {
      return;
    }
    this.#isWriting = true;
    const proposalSignal = createTimeoutSignal(signal, PROPOSAL_TIMEOUT_MS);
    await this.proposer.propose({ kind: 'snapshot', state: toSnapshot(this.replica.state) }, proposalSignal);
    this.#isWriting = false;
  }

  // An idle fleet needs snapshots too: the log also trims the newest snapshot by age.
  #isDue(): boolean {
    const share = PLANNER_SHARE + this.#rank() * SHARE_PER_RANK;
    const records = this.replica.state.next - this.#newestOffset;
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
