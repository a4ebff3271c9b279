import type { AllowedWorkers, QueueConfig, StepRun, Worker } from '@sequoiaquay/core/jobs';
import type { Logger, TimerService } from '@sequoiaquay/runtime';
import { parseTaskName } from '@sequoiaquay/core/jobs';
import type { AdviceService } from './ports/advice-service';

interface KnownAdvice {
  permits: ReadonlyMap<string, string>;
  validUntil: number;
}

/** Most workers that one question names. */
const MAX_WORKERS = 100;

/** Added to the time that a question should take, in ms. */
const LIMIT_MS = 1500;

/** Time for which nothing is asked after a question failed, in ms. */
const RETRY_MS = 200;

/** Part of the validity of a permit that is kept for the order to arrive. */
const USED_VALIDITY = 0.7;

/** Permits for the steps of queues on which only some workers may run a step. */
export class AdviceBook {
  readonly #asking = new Set<string>();
  readonly #known = new Map<string, KnownAdvice>();

  constructor(
    private readonly service: AdviceService | undefined,
    private readonly onAdvice: () => void,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly signal: AbortSignal,
  ) {}

  /** Workers that may run a step; none while that is being asked. */
  allowed(queue: QueueConfig, step: StepRun, workers: readonly Worker[]): AllowedWorkers {
    const name = stepName(step.tasks[0]?.name ?? '');
    const known = this.#known.get(name);
    if (known !== undefined && known.validUntil > this.timers.mono()) {
      return new Set(known.permits.keys());
    }
    this.#known.delete(name);
    void this.#ask(name, queue, workers);
    return new Set();
  }

  /** Permit for a task on a worker; empty where none is known. */
  permit(task: string, workerId: string): string {
    return this.#known.get(stepName(task))?.permits.get(workerId) ?? '';
  }

  async #ask(step: string, queue: QueueConfig, workers: readonly Worker[]): Promise<void> {
    if (this.#asking.has(step) || this.service === undefined || queue.advice === undefined) {
      return;
    }
    this.#asking.add(step);
    const workerIds = workers.slice(0, MAX_WORKERS).map((worker) => worker.info.id);
    const { decisionMs, perWorkerMs } = queue.advice;
    const limitMs = LIMIT_MS + decisionMs + perWorkerMs * workerIds.length;
    const advice = await this.service.ask({ limitMs, signal: this.signal, step, workerIds });
    if (advice.isOk()) {
      const { permits, validityMs } = advice.value;
      this.#known.set(step, { permits, validUntil: this.timers.mono() + USED_VALIDITY * validityMs });
      this.log.info({ allowed: permits.size, asked: workerIds.length, step }, 'advice received');
    } else {
      this.log.warn({ error: advice.error, step }, 'advice failed');
      await this.timers.sleep(RETRY_MS, this.signal);
    }
    this.#asking.delete(step);
    this.onAdvice();
  }
}

function stepName(task: string): string {
  const name = parseTaskName(task);
  return name === undefined ? task : `${name.jobId}.${name.occurrence}.${name.step}`;
}
