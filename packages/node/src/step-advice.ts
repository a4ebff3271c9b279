import type { Worker } from '@sequoiaquay/core/jobs';
import type { Advice } from './ports/advice-service';

/** Answer of the advice service about one worker. */
interface WorkerAnswer {
  /** Monotonic time at which the answer arrived, in ms. */
  at: number;
  /** Incarnation of the worker that was asked about; a permit is void for any other. */
  bornAt: number;
  /** Undefined if the worker may not run the step. */
  permit: string | undefined;
  /** Monotonic time until which the answer is used, in ms. */
  validUntil: number;
}

/** Share of a permit's validity for which it is used; the rest is left for the order to arrive in time. */
const USABLE_VALIDITY_SHARE = 0.7;

/** Time after which a worker that refused its permit is asked about again, in ms. */
const REFUSED_PERMIT_PAUSE_MS = 500;

/** Answers of the advice service about the workers for one step. */
export class StepAdvice {
  readonly #answers = new Map<string, WorkerAnswer>();
  /** Monotonic time at which the last permit becomes void, in ms. */
  #expiresAt = -Infinity;

  /** Records an answer about workers that arrived at a monotonic time in ms. */
  add(workers: readonly Worker[], { permits, validityMs }: Advice, now: number): void {
    const validUntil = now + USABLE_VALIDITY_SHARE * validityMs;
    this.#expiresAt = now + validityMs;
    for (const { info } of workers) {
      this.#answers.set(info.id, {
        at: now,
        bornAt: info.bornAt,
        permit: permits.get(info.id),
        validUntil,
      });
    }
  }

  /** Returns the ids of the workers with a permit that is valid at a monotonic time in ms. */
  allowed(workers: readonly Worker[], now: number): ReadonlySet<string> {
    const allowed = workers.filter((worker) => this.#validAnswer(worker, now)?.permit !== undefined);
    return new Set(allowed.map((worker) => worker.info.id));
  }

  /** Drops a permit that a worker refused; the worker is asked about again after a pause. */
  dropPermit(workerId: string, now: number): void {
    const answer = this.#answers.get(workerId);
    if (answer !== undefined) {
      this.#answers.set(workerId, {
        ...answer,
        permit: undefined,
        validUntil: now + REFUSED_PERMIT_PAUSE_MS,
      });
    }
  }

  /** Whether all permits are void at a monotonic time in ms. */
  hasExpired(now: number): boolean {
    return this.#expiresAt <= now;
  }

  /** Returns the permit for a worker; empty if there is none. */
  permitFor(workerId: string): string {
    return this.#answers.get(workerId)?.permit ?? '';
  }

  /** Returns the workers about which there is no valid answer, those that were never asked about first. */
  unanswered(workers: readonly Worker[], now: number): Worker[] {
    const answeredAt = (worker: Worker): number => this.#answers.get(worker.info.id)?.at ?? 0;
    const unanswered = workers.filter((worker) => this.#validAnswer(worker, now) === undefined);
    return unanswered.sort((a, b) => answeredAt(a) - answeredAt(b));
  }

  #validAnswer({ info }: Worker, now: number): undefined | WorkerAnswer {
    const answer = this.#answers.get(info.id);
    const isValid = answer?.bornAt === info.bornAt && answer.validUntil > now;
    return isValid ? answer : undefined;
  }
}
