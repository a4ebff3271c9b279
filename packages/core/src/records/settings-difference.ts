import diff from 'microdiff';
import type { TeamBranch } from './settings-schema';

/** Setting that differs between two versions of a team's branch. */
export interface SettingsDifference {
  /** Previous value; absent when the setting was added. */
  from?: unknown;
  /** Path of the setting within the branch, joined by dots. */
  path: string;
  /** New value; absent when the setting was removed. */
  to?: unknown;
}

/** Returns the settings that differ between two versions of a team's branch; undefined counts as an empty branch. */
export function settingsDifference(
  from: TeamBranch | undefined,
  to: TeamBranch | undefined,
): SettingsDifference[] {
  return diff(from ?? {}, to ?? {}).map((change) => {
    const path = change.path.join('.');
    switch (change.type) {
      case 'CHANGE':
        return { from: change.oldValue as unknown, path, to: change.value as unknown };
      case 'CREATE':
        return { path, to: change.value as unknown };
      case 'REMOVE':
        return { from: change.oldValue as unknown, path };
    }
  });
}
