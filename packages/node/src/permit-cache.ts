import type { AllowedWorkers, QueueConfig, StepRun, Worker } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { parseTaskName } from '@sequoiaquay/core/jobs';
import type { AdviceService } from './ports/advice-service';

interface CachedAdvice {
  permits: ReadonlyMap<string, string>;
  /** Monotonic time until which the permits are used, in ms. */
  validUntil: number;
}

/** Most candidate workers in one request. */
const MAX_WORKERS_PER_REQUEST = 100;

/** Margin of the timeout over the expected duration of a request, in ms. */
const TIMEOUT_MARGIN_MS = 1500;

/** Delay before a step may be requested again after a failed request, in ms. */
const RETRY_DELAY_MS = 200;

/** Share of a permit's validity for which it is used; the rest is left for the order to arrive in time. */
const USABLE_VALIDITY_SHARE = 0.7;

/** Requests and caches permits for the steps of queues whose steps only some workers may run. */
export class PermitCache {
  readonly #pendingSteps = new Set<string>();
  readonly #adviceByStep = new Map<string, CachedAdvice>();

  constructor(
    private readonly service: AdviceService | undefined,
    /** Called after each request, whether it succeeded or failed. */
    private readonly onSettled: () => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Returns the ids of the workers that may run a step. Without valid permits it requests them and returns
   * an empty set.
   */
  allowedWorkers(queue: QueueConfig, step: StepRun, workers: readonly Worker[]): AllowedWorkers {
    const name = stepNameOf(step.tasks[0]?.name ?? '');
    const cached = this.#adviceByStep.get(name);
    if (cached !== undefined && cached.validUntil > this.timers.mono()) {
      return new Set(cached.permits.keys());
    }
    this.#adviceByStep.delete(name);
    void this.#fetchAdvice(name, queue, workers);
    return new Set();
  }

  /** Returns the permit for a task on a worker; empty if there is none. */
  permitFor(task: string, workerId: string): string {
    return this.#adviceByStep.get(stepNameOf(task))?.permits.get(workerId) ?? '';
  }

  async #fetchAdvice(step: string, queue: QueueConfig, workers: readonly Worker[]): Promise<void> {
    if (this.#pendingSteps.has(step) || this.service === undefined || queue.advice === undefined) {
      return;
    }
    this.#pendingSteps.add(step);
    const workerIds = workers.slice(0, MAX_WORKERS_PER_REQUEST).map((worker) => worker.info.id);
    const { decisionMs, perWorkerMs } = queue.advice;
    const timeoutMs = TIMEOUT_MARGIN_MS + decisionMs + perWorkerMs * workerIds.length;
    const advice = await this.service.requestAdvice({ signal: this.signal, step, timeoutMs, workerIds });
    if (advice.isOk()) {
      const { permits, validityMs } = advice.value;
      this.#adviceByStep.set(step, {
        permits,
        validUntil: this.timers.mono() + USABLE_VALIDITY_SHARE * validityMs,
      });
      this.log.info({ allowed: permits.size, asked: workerIds.length, step }, 'advice received');
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
