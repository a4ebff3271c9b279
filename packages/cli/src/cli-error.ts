/** Exit codes of the command line. */
export const EXIT = { ok: 0, refused: 1, unreachable: 3, usage: 2 } as const;

/** Why a command did not do what was asked. */
export interface CliError {
  /** Answer of the control, when there is one. */
  answer?: unknown;
  /** `refused` by the system, a mistake in the command (`usage`), or no control answered (`unreachable`). */
  kind: 'refused' | 'unreachable' | 'usage';
  lines: string[];
}

/** Error for a mistake in the command line or its settings. */
export function usageError(...lines: string[]): CliError {
  return { kind: 'usage', lines };
}
