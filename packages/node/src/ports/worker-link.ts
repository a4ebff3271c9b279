import type { StartAnswer, WorkerInfo, WorkerReport } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Ways in which a call to a worker can fail. */
export const LINK_FAILURE = {
  /** The worker has taken orders of a later term. */
  fenced: 'fenced',
  /** Another life of the worker answered, or another worker. */
  replaced: 'replaced',
  /** No usable answer; the order may have been carried out, or may be later. */
  silent: 'silent',
} as const;

/** Failure of a call to a worker. */
export interface LinkError {
  kind: (typeof LINK_FAILURE)[keyof typeof LINK_FAILURE];
  message: string;
}

/** What every order to a worker carries. */
export interface OrderContext {
  /** Term of the leader; the worker refuses orders of earlier terms. */
  epoch: number;
  limitMs: number;
  signal: AbortSignal;
  worker: WorkerInfo;
}

/** Order to start a run. */
export interface StartCall extends OrderContext {
  body: string;
  checkpoint: string;
  /** Time on the worker's clock until which its runs live, in ms. */
  deadline: number;
  run: number;
  task: string;
  /** Permit for the step on this worker; empty where none is needed. */
  ticket: string;
}

/** Order about a run. */
export interface RunCall extends OrderContext {
  run: number;
  task: string;
}

/** Order to let a run use a share of its processor time. */
export interface PaceCall extends RunCall {
  percent: number;
}

/** Question what the worker runs, which also keeps its runs alive. */
export interface ReportCall extends OrderContext {
  /** Time on the worker's clock until which its runs live, in ms. */
  deadline: number | undefined;
  /** The worker may forget ends up to this number. */
  endsStored: number;
  /** Time for which the worker waits for an end, in ms. */
  waitMs: number;
}

/** Calls to the workers. */
export interface WorkerLink {
  /** Closes the connections to a worker that has left. */
  forget: (worker: WorkerInfo) => void;
  pace: (call: PaceCall) => ResultAsync<void, LinkError>;
  report: (call: ReportCall) => ResultAsync<WorkerReport, LinkError>;
  start: (call: StartCall) => Promise<StartAnswer>;
  stop: (call: RunCall) => ResultAsync<void, LinkError>;
}
