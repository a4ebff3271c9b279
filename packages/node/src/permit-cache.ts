import type { AllowedWorkers, JobPolicy, StepRun, Worker } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { parseTaskName } from '@sequoiaquay/core/jobs';
import type { AdviceService } from './ports/advice-service';
import { StepAdvice } from './step-advice';

/** Most candidate workers in one request. */
const MAX_WORKERS_PER_REQUEST = 100;

/** Margin of the timeout over the expected duration of a request, in ms. */
const TIMEOUT_MARGIN_MS = 1500;

/** Delay before a step may be requested again after a failed request, in ms. */
const RETRY_DELAY_MS = 200;

/** Step that waits for an answer about some workers. */
interface WaitingStep {
  policy: JobPolicy;
  step: StepRun;
  /** Workers to which its tasks could be assigned. */
  workers: readonly Worker[];
}

/**
 * Requests and caches permits for the steps of queues whose steps only some workers may run. The service handles
 * one request of a node at a time and refuses some if many wait, so each request is sent after the answer to the
 * last one, in the order in which steps began to wait.
 */
export class PermitCache {
  readonly #adviceByStep = new Map<string, StepAdvice>();
  /** Number of consecutive requests without a usable answer. */
  #failures = 0;
  #isRequesting = false;
  readonly #waitingSteps = new Map<string, WaitingStep>();

  constructor(
    private readonly service: AdviceService | undefined,
    /** Called after each request, whether it succeeded or failed. */
    private readonly onSettled: () => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /** Number of steps whose answers are kept. */
  get size(): number {
    return this.#adviceByStep.size;
  }

  /**
   * Returns the ids of the workers that are known to be allowed to run a step. It requests permits for those about
   * which there is no valid answer.
   */
  allowedWorkers(policy: JobPolicy, step: StepRun, workers: readonly Worker[]): AllowedWorkers {
    const name = step.name;
    const now = this.timers.mono();
    const advice = this.#adviceByStep.get(name);
    if (advice === undefined || advice.unanswered(workers, now).length > 0) {
      // A step that waits already keeps its place.
      this.#waitingSteps.set(name, { policy, step, workers });
      void this.#requestWaiting();
    }
    return advice?.allowed(workers, now) ?? new Set();
  }

  /** Handles that a worker refused the permit for a task: it is asked about again. */
  onPermitRefused(task: string, workerId: string): void {
    this.#adviceByStep.get(stepNameOf(task))?.dropPermit(workerId, this.timers.mono());
  }

  /** Returns the permit for a task on a worker; empty if there is none. */
  permitFor(task: string, workerId: string): string {
    return this.#adviceByStep.get(stepNameOf(task))?.permitFor(workerId) ?? '';
  }

  async #requestWaiting(): Promise<void> {
    if (this.#isRequesting || this.service === undefined) {
      return;
    }
    this.#isRequesting = true;
    // Until the plan has found all steps that wait and assigned what has a permit.
    await Promise.resolve();
    for (const [name, waiting] of this.#waitingSteps) {
      this.#waitingSteps.delete(name);
      await this.#requestFor(name, waiting, this.service);
    }
    this.#isRequesting = false;
  }

  async #requestFor(name: string, waiting: WaitingStep, service: AdviceService): Promise<void> {
    const { policy, step } = waiting;
    const now = this.timers.mono();
    const known = this.#adviceByStep.get(name) ?? new StepAdvice();
    const unanswered = known.unanswered(waiting.workers, now);
    const isWaiting = step.waitingCount > 0 && !step.job.hasEnded;
    if (this.signal.aborted || !isWaiting || unanswered.length === 0 || policy.advice === undefined) {
      return;
    }
    const workers = unanswered.slice(0, MAX_WORKERS_PER_REQUEST);
    const workerIds = workers.map((worker) => worker.info.id);
    const { decisionMs, perWorkerMs } = policy.advice;
    const timeoutMs = TIMEOUT_MARGIN_MS + decisionMs + perWorkerMs * workerIds.length;
    const advice = await service.requestAdvice({ signal: this.signal, step: name, timeoutMs, workerIds });
    if (advice.isOk()) {
      this.#failures = 0;
      known.add(workers, advice.value, this.timers.mono());
      this.#adviceByStep.set(name, known);
      this.#forgetExpired();
      this.log.info(
        { allowed: advice.value.permits.size, asked: workerIds.length, step: name },
        'advice received',
      );
    } else {
      this.#logFailure(advice.error, name);
      await this.timers.sleep(RETRY_DELAY_MS, this.signal);
    }
    this.onSettled();
  }

  // The line repeats while the failures last, at longer and longer intervals.
  #logFailure(error: string, step: string): void {
    this.#failures += 1;
    if (Number.isInteger(Math.log2(this.#failures))) {
      this.log.warn({ error, failures: this.#failures, step }, 'advice failed');
    }
  }

  // A step that waits keeps its answers, since they say which workers were asked about last.
  #forgetExpired(): void {
    const now = this.timers.mono();
    for (const [name, advice] of this.#adviceByStep) {
      if (!this.#waitingSteps.has(name) && advice.hasExpired(now)) {
        this.#adviceByStep.delete(name);
      }
    }
  }
}

/** Returns the name of the step that a task belongs to. */
function stepNameOf(task: string): string {
  const name = parseTaskName(task);
  return name === undefined ? task : `${name.jobId}.${name.occurrence}.${name.step}`;
}
