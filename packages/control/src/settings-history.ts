import type { SettingsDifference, TeamBranch } from '@sequoiaquay/core';
import type { FleetApplyResult, LogEntry } from '@sequoiaquay/platform';
import { fleetRecordSchema, settingsDifference } from '@sequoiaquay/core';

/** A proposed change of a team's settings. */
export interface SettingsChange {
  accepted: boolean;
  /** Writer's wall clock, in ms since the epoch. */
  at: number;
  base: number;
  by: string;
  /** Options changed against the branch before; null when this control doesn't know that branch. */
  difference: SettingsDifference[] | null;
  reason: string;
  record: string;
  /** Version that the change led to; 0 when it was rejected. */
  version: number;
}

/** Changes kept for each team. */
const MAX_CHANGES = 50;

/** Differences kept for one change, and characters for one value of them. */
const MAX_DIFFERENCES = 100;
const MAX_VALUE_CHARS = 500;

/** Latest changes of each team's settings, as this control has seen them in the log. */
export class SettingsHistory {
  readonly #branches = new Map<string, { value: TeamBranch; version: number }>();
  readonly #changes = new Map<string, SettingsChange[]>();

  /** Adds a record that the fold has judged, when it is a change of settings. */
  add(entry: LogEntry, verdict: FleetApplyResult): void {
    const record = fleetRecordSchema.safeParse(entry.value);
    if (!record.success || record.data.kind !== 'settings-apply') {
      return;
    }
    const { at, base, branch, by, id, team } = record.data;
    const accepted = verdict.isOk();
    const before = this.#branches.get(team);
    const known = base === 0 || before?.version === base;
    const version = accepted ? entry.offset + 1 : 0;
    this.#push(team, {
      accepted,
      at,
      base,
      by,
      difference: known ? bounded(settingsDifference(base === 0 ? undefined : before?.value, branch)) : null,
      reason: verdict.isErr() ? verdict.error.reason : '',
      record: id,
      version,
    });
    if (accepted) {
      this.#branches.set(team, { value: branch, version });
    }
  }

  /** Changes of a team, oldest first. */
  of(team: string): SettingsChange[] {
    return [...(this.#changes.get(team) ?? [])];
  }

  #push(team: string, change: SettingsChange): void {
    const changes = this.#changes.get(team) ?? [];
    changes.push(change);
    this.#changes.set(team, changes.slice(-MAX_CHANGES));
  }
}

function bounded(difference: SettingsDifference[]): SettingsDifference[] {
  return difference.slice(0, MAX_DIFFERENCES).map(({ from, path, to }) => ({
    ...(from === undefined ? {} : { from: boundedValue(from) }),
    path,
    ...(to === undefined ? {} : { to: boundedValue(to) }),
  }));
}

function boundedValue(value: unknown): unknown {
  const size = JSON.stringify(value).length;
  return size > MAX_VALUE_CHARS ? `(${size} characters)` : value;
}
