import diff from 'microdiff';
import type { TeamBranch } from './settings-schema';

/** One option that differs between two branches. */
export interface SettingsDifference {
  /** Value before; absent when the option was added. */
  from?: unknown;
  /** Names from the branch down to the option, joined by dots. */
  path: string;
  /** Value after; absent when the option was removed. */
  to?: unknown;
}

/** Options that differ between two branches of a team; no branch counts as an empty one. */
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
