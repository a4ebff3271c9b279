import type { SettingsDifference, TeamBranch } from '@sequoiaquay/core';
import type { FleetApplyResult, LogEntry } from '@sequoiaquay/platform';
import { fleetRecordSchema, settingsDifference } from '@sequoiaquay/core';

/** An accepted or rejected change of a team's settings. */
export interface SettingsChange {
  accepted: boolean;
  /** Writer's wall clock, in ms since the epoch. */
  at: number;
  base: number;
  by: string;
  /** Options that differ from version `base`; null when this control process doesn't have that version. */
  difference: SettingsDifference[] | null;
  reason: string;
  record: string;
  /** Settings version that the change created; 0 when it was rejected. */
  version: number;
}

/** Number of changes kept for each team. */
const MAX_CHANGES_PER_TEAM = 50;

/** Limits for one change: the number of differences kept, and the length of a value as JSON, in characters. */
const MAX_DIFFERENCES = 100;
const MAX_VALUE_CHARS = 500;

/** Keeps the latest changes of each team's settings that this control process has read from the log. */
export class SettingsHistory {
  readonly #branches = new Map<string, { value: TeamBranch; version: number }>();
  readonly #changes = new Map<string, SettingsChange[]>();

  /** Adds an applied record when it is a change of settings. */
  add(entry: LogEntry, result: FleetApplyResult): void {
    const record = fleetRecordSchema.safeParse(entry.value);
    if (!record.success || record.data.kind !== 'settings-apply') {
      return;
    }
    const { at, base, branch, by, id, team } = record.data;
    const accepted = result.isOk();
    const previous = this.#branches.get(team);
    const isBaseKnown = base === 0 || previous?.version === base;
    const version = accepted ? entry.offset + 1 : 0;
    this.#push(team, {
      accepted,
      at,
      base,
      by,
      difference: isBaseKnown
        ? truncateDifferences(settingsDifference(base === 0 ? undefined : previous?.value, branch))
        : null,
      reason: result.isErr() ? result.error.reason : '',
      record: id,
      version,
    });
    if (accepted) {
      this.#branches.set(team, { value: branch, version });
    }
  }

  /** Returns the changes of a team's settings, oldest first. */
  getChanges(team: string): SettingsChange[] {
    return [...(this.#changes.get(team) ?? [])];
  }

  #push(team: string, change: SettingsChange): void {
    const changes = this.#changes.get(team) ?? [];
    changes.push(change);
    this.#changes.set(team, changes.slice(-MAX_CHANGES_PER_TEAM));
  }
}

function truncateDifferences(difference: SettingsDifference[]): SettingsDifference[] {
  return difference.slice(0, MAX_DIFFERENCES).map(({ from, path, to }) => ({
    ...(from === undefined ? {} : { from: truncateValue(from) }),
    path,
    ...(to === undefined ? {} : { to: truncateValue(to) }),
  }));
}

function truncateValue(value: unknown): unknown {
  const size = JSON.stringify(value).length;
  return size > MAX_VALUE_CHARS ? `(${size} characters)` : value;
}
