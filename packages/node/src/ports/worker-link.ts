import type { StartAnswer, WorkerInfo, WorkerReport } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Kinds of failure of a call to a worker. */
export const LINK_FAILURE = {
  /** The connection was closed or refused, as when the worker's process ends. */
  disconnected: 'disconnected',
  /** The worker has accepted orders with a higher fencing token. */
  fenced: 'fenced',
  /** Another worker answered at the address, so that the process of the expected one has ended. */
  replaced: 'replaced',
  /** No usable answer: the order may have been carried out, or may still be. */
  unresponsive: 'silent',
} as const;

/** Failure of a call to a worker. */
export interface LinkError {
  /** Whether the worker certainly does not carry out the call; it may if undefined. */
  isUnsent?: boolean;
  kind: (typeof LINK_FAILURE)[keyof typeof LINK_FAILURE];
  message: string;
}

/** Arguments that all calls to a worker share. */
export interface WorkerCall {
  /** Fencing token of the leader; the worker refuses calls with a lower one than it has seen. */
  epoch: number;
  /** Timeout of the call, in ms. */
  limitMs: number;
  signal: AbortSignal;
  worker: WorkerInfo;
}

/** Arguments of the order to start a run. */
export interface StartCall extends WorkerCall {
  /** Body of the job, which describes the work. */
  body: string;
  /** Checkpoint to resume from; empty to start from the beginning. */
  checkpoint: string;
  /** Time on the worker's clock at which the lease of its runs ends, in ms. */
  deadline: number;
  /**
   * Checked when the call is about to be written to a connection: it may have waited for one, or the process may
   * have been paused, and the permission to send it may have expired since.
   */
  maySend: () => boolean;
  /** Permit for the step on this worker; empty if none is required. */
  permit: string;
  run: number;
  task: string;
}

/** Arguments of an order for a run that has been started. */
export interface RunCall extends WorkerCall {
  run: number;
  task: string;
}

/** Arguments of the order to throttle a run. */
export interface ThrottleCall extends RunCall {
  /** Share of the processor time that the run may use. */
  percent: number;
}

/** Arguments of the request for a worker's report, which also extends the lease of its runs. */
export interface ReportCall extends WorkerCall {
  /** Time on the worker's clock at which the lease of its runs ends, in ms; undefined to leave the lease. */
  deadline: number | undefined;
  /** Number up to which the worker drops its ends, whichever incarnation receives the call; 0 to drop none. */
  endsStored: number;
  /**
   * Checked when the call is about to be written to a connection: it may have waited for one, or the process may
   * have been paused, and the permission to send it may have expired since.
   */
  maySend: () => boolean;
  /** Longest time for which the worker waits for a run to end before it answers, in ms. */
  waitMs: number;
}

/** Response to the order to start a run. */
export interface StartResponse {
  answer: StartAnswer;
  /** Reading of the worker's clock, in ms; undefined without a response that states it. */
  clockMs: number | undefined;
}

/** Client for the workers' API. */
export interface WorkerLink {
  /** Closes the connections to a worker that is no longer used. */
  disconnect: (worker: WorkerInfo) => void;
  /** Returns the runs that the worker has in progress and the ends that are not yet acknowledged. */
  report: (call: ReportCall) => ResultAsync<WorkerReport, LinkError>;
  /** Orders a run to start. */
  start: (call: StartCall) => Promise<StartResponse>;
  /** Orders a run to stop. */
  stop: (call: RunCall) => ResultAsync<void, LinkError>;
  /** Limits the processor time of a run. */
  throttle: (call: ThrottleCall) => ResultAsync<void, LinkError>;
}
