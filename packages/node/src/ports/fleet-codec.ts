import type { FleetConfig, Wave, WaveReport, WorkerInfo } from '@sequoiaquay/core/jobs';
import type { Result } from 'neverthrow';

/** Decoded record of the operators: a configuration or a maintenance wave. */
export type OperatorRecord = { cfg: FleetConfig; kind: 'config' } | { kind: 'wave'; wave: Wave };

/** Decodes the records of operators and workers, and encodes the reports to operators. */
export interface FleetCodec {
  /** Decodes a record of the operators; undefined for a kind that the node does not use. */
  decodeOperatorRecord: (key: string, value: string) => Result<OperatorRecord | undefined, string>;
  /** Decodes an entry of the worker registry. */
  decodeWorker: (key: string, value: string) => Result<WorkerInfo, string>;
  /** Returns the worker id in the key of a registry entry. */
  decodeWorkerId: (key: string) => string;
  /** Encodes the report of a wave's progress as a record of the status stream. */
  encodeReport: (report: WaveReport) => { key: string; value: string };
}
