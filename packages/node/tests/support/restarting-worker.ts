import type { ReportedEnd, WorkerInfo, WorkerReport } from '@sequoiaquay/core/jobs';
import type { Result } from 'neverthrow';
import { RUN_END } from '@sequoiaquay/core/jobs';
import { err, ok, okAsync, ResultAsync } from 'neverthrow';
import type { LinkError, ReportCall, RunCall, StartCall, WorkerLink } from '../../src/ports/worker-link';
import { worker } from '../../../core/tests/jobs/support/jobs';

const POLL_MS = 5;

const NO_ANSWER: LinkError = { kind: 'silent', message: 'no answer' };

interface Life {
  bornAt: number;
  clockStartedAt: number;
  ends: ReportedEnd[];
  nextNumber: number;
  runs: Map<string, { endsAt: number; run: number }>;
}

/** Worker that may restart under its id, and a network that may hold back its report requests. */
export class RestartingWorker implements WorkerLink {
  /** Tasks that have been started, one entry for each run. */
  readonly started: string[] = [];
  /** Tasks whose runs have ended as done. */
  readonly done: string[] = [];
  /** Numbers that the report requests carried, in the order in which they were sent. */
  readonly acknowledged: number[] = [];
  /** Time from the sending of a report request to its execution, in ms. */
  delayOf: (call: ReportCall) => number = () => 1;
  /** Duration of a run of a task, in ms. */
  durationOf: (task: string) => number = () => 300;
  #life: Life = newLife();
  #lists = 0;

  /** Entry of the present life in the registry. */
  get info(): WorkerInfo {
    return worker('w1', { bornAt: this.#life.bornAt });
  }

  /** Ends all runs and begins a new life, with a clock that starts anew. */
  restart(): void {
    this.#life = newLife();
  }

  disconnect(): void {
    // There are no connections to close.
  }

  report(call: ReportCall): ReturnType<WorkerLink['report']> {
    this.acknowledged.push(call.endsStored);
    return new ResultAsync(this.#report(call));
  }

  async start(call: StartCall): ReturnType<WorkerLink['start']> {
    await sleep(1);
    const { clockStartedAt, runs } = this.#life;
    this.started.push(call.task);
    runs.set(call.task, { endsAt: performance.now() + this.durationOf(call.task), run: call.run });
    return { answer: 'started', clockMs: performance.now() - clockStartedAt };
  }

  stop({ task }: RunCall): ReturnType<WorkerLink['stop']> {
    this.#end(task, RUN_END.stopped);
    return okAsync(undefined);
  }

  throttle(): ReturnType<WorkerLink['throttle']> {
    return okAsync(undefined);
  }

  // A request that is executed after its timeout has no answer.
  async #report(call: ReportCall): Promise<Result<WorkerReport, LinkError>> {
    const limitMs = call.limitMs + call.waitMs;
    const executed = sleep(this.delayOf(call)).then(() => this.#execute(call));
    const answer = await Promise.race([executed, sleep(limitMs)]);
    return answer === undefined ? err(NO_ANSWER) : ok(answer);
  }

  async #execute({ endsStored, waitMs }: ReportCall): Promise<WorkerReport> {
    const life = this.#life;
    const answersAt = performance.now() + waitMs;
    let list = this.#list(endsStored);
    while (list.ended.length === 0 && performance.now() < answersAt && life === this.#life) {
      const highest = life.nextNumber;
      await sleep(POLL_MS);
      list = this.#list(endsStored);
      if (life.nextNumber > highest) {
        return list;
      }
    }
    return list;
  }

  // Drops the ends up to a number and lists the others and the runs.
  #list(endsStored: number): WorkerReport {
    const life = this.#life;
    this.#lists += 1;
    for (const [task, { endsAt }] of life.runs) {
      if (endsAt <= performance.now()) {
        this.#end(task, RUN_END.done);
      }
    }
    life.ends = life.ends.filter(({ number }) => number > endsStored);
    const running = [...life.runs].map(([task, { run }]) => ({
      checkpoint: '',
      load: 0,
      percent: this.#lists % 100,
      run,
      task,
    }));
    return {
      bornAt: life.bornAt,
      clockMs: performance.now() - life.clockStartedAt,
      ended: [...life.ends],
      running,
    };
  }

  #end(task: string, end: ReportedEnd['end']): void {
    const run = this.#life.runs.get(task)?.run;
    if (run === undefined) {
      return;
    }
    this.#life.runs.delete(task);
    this.#life.ends.push({ checkpoint: '', end, number: this.#life.nextNumber, run, task });
    this.#life.nextNumber += 1;
    if (end === RUN_END.done) {
      this.done.push(task);
    }
  }
}

function newLife(): Life {
  const now = performance.now();
  return { bornAt: Math.round(now) + 1, clockStartedAt: now, ends: [], nextNumber: 1, runs: new Map() };
}

function sleep(delayMs: number): Promise<undefined> {
  return new Promise((resolve) => {
    setTimeout(() => {
      resolve(undefined);
    }, delayMs);
  });
}
