import type { AllowedWorkers, QueueConfig, StepRun, Worker } from '@sequoiaquay/core/jobs';
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

/** Requests and caches permits for the steps of queues whose steps only some workers may run. */
export class PermitCache {
  readonly #pendingSteps = new Set<string>();
  readonly #adviceByStep = new Map<string, StepAdvice>();

  constructor(
    private readonly service: AdviceService | undefined,
    /** Called after each request, whether it succeeded or failed. */
    private readonly onSettled: () => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Returns the ids of the workers that are known to be allowed to run a step. It requests permits for those about
   * which there is no valid answer.
   */
  allowedWorkers(queue: QueueConfig, step: StepRun, workers: readonly Worker[]): AllowedWorkers {
    const name = stepNameOf(step.tasks[0]?.name ?? '');
    const now = this.timers.mono();
    const advice = this.#getOrCreateAdvice(name);
    const unanswered = advice.unanswered(workers, now);
    if (unanswered.length > 0) {
      void this.#fetchAdvice(name, queue, unanswered.slice(0, MAX_WORKERS_PER_REQUEST));
    }
    return advice.allowed(workers, now);
  }

  /** Returns the permit for a task on a worker; empty if there is none. */
  permitFor(task: string, workerId: string): string {
    return this.#adviceByStep.get(stepNameOf(task))?.permitFor(workerId) ?? '';
  }

  #getOrCreateAdvice(step: string): StepAdvice {
    const known = this.#adviceByStep.get(step) ?? new StepAdvice();
    this.#adviceByStep.set(step, known);
    return known;
  }

  async #fetchAdvice(step: string, queue: QueueConfig, workers: readonly Worker[]): Promise<void> {
    if (this.#pendingSteps.has(step) || this.service === undefined || queue.advice === undefined) {
      return;
    }
    this.#pendingSteps.add(step);
    const workerIds = workers.map((worker) => worker.info.id);
    const { decisionMs, perWorkerMs } = queue.advice;
    const timeoutMs = TIMEOUT_MARGIN_MS + decisionMs + perWorkerMs * workerIds.length;
    const advice = await this.service.requestAdvice({ signal: this.signal, step, timeoutMs, workerIds });
    if (advice.isOk()) {
      this.#getOrCreateAdvice(step).add(workers, advice.value, this.timers.mono());
      this.log.info({ allowed: advice.value.permits.size, asked: workerIds.length, step }, 'advice received');
    } else {
      this.log.warn({ error: advice.error, step }, 'advice failed');
      await this.timers.sleep(RETRY_DELAY_MS, this.signal);
    }
    this.#pendingSteps.delete(step);
    this.onSettled();
  }
}

/** Returns the name of the step that a task belongs to. */
function stepNameOf(task: string): string {
  const name = parseTaskName(task);
  return name === undefined ? task : `${name.jobId}.${name.occurrence}.${name.step}`;
}
