import type { FleetConfig, Wave, WaveReport, WorkerInfo } from '@sequoiaquay/core/jobs';
import type { Result } from 'neverthrow';

/** What an operator's record says. */
export type OperatorRecord = { cfg: FleetConfig; kind: 'config' } | { kind: 'wave'; wave: Wave };

/** Reads the records that operators and workers write, and writes those for the operators. */
export interface FleetCodec {
  /** Record that tells the operators how far a wave is. */
  encodeReport: (report: WaveReport) => { key: string; value: string };
  /** Undefined for records that say nothing to the system. */
  operator: (key: string, value: string) => Result<OperatorRecord | undefined, string>;
  /** The worker that an entry of the registry describes. */
  worker: (key: string, value: string) => Result<WorkerInfo, string>;
  /** Id of the worker that an entry is about. */
  workerId: (key: string) => string;
}
