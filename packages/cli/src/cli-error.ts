/** Exit codes of the command line. */
export const EXIT_CODE = { ok: 0, refused: 1, unreachable: 3, usage: 2 } as const;

/** Error of a command. */
export interface CliError {
  /** Response of the control, if any. */
  answer?: unknown;
  /**
   * `refused`: a control refused the request. `usage`: the command line or the settings are invalid.
   * `unreachable`: no control answered, or its response is not usable.
   */
  kind: 'refused' | 'unreachable' | 'usage';
  lines: string[];
}

/** Returns an error for an invalid command line or invalid settings. */
export function usageError(...lines: string[]): CliError {
  return { kind: 'usage', lines };
}
