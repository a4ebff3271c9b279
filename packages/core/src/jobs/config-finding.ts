/** Kinds of findings about a configuration. */
export const FINDING_SEVERITY = {
  /** The configuration can't be decoded, or nodes would reject it. */
  error: 'error',
  /** No request can reach the entry. */
  neverMatches: 'never-matches',
  /** Values that defeat their purpose, alone or together. */
  contradiction: 'contradiction',
  /** Change against the version in force. */
  difference: 'difference',
} as const;

/** Kind of a finding about a configuration. */
export type FindingSeverity = (typeof FINDING_SEVERITY)[keyof typeof FINDING_SEVERITY];

/** Finding about a configuration; it never has an API key. */
export interface ConfigFinding {
  message: string;
  /** Place in the configuration, for example `queues[2].pathPrefix`; empty for the whole of it. */
  path: string;
  severity: FindingSeverity;
}
