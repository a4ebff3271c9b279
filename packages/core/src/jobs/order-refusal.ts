import type { SchedulerSettings } from './scheduler-context';
import type { StartOrder } from './scheduler-output';
import type { StartAnswer } from './worker-report';
import { START_ANSWER } from './worker-report';

/** Delays further orders after a worker has refused one, at a monotonic time in ms. */
export function delayOrdersAfterRefusal(
  { task, worker }: StartOrder,
  answer: StartAnswer,
  settings: SchedulerSettings,
  now: number,
): void {
  switch (answer) {
    // A higher number of the run, or another permit, is accepted at once.
    case START_ANSWER.noPermit:
    case START_ANSWER.stale:
      return;
    case START_ANSWER.invalid:
      task.startsNotBefore = now + settings.refusedPauseMs;
      return;
    case START_ANSWER.late:
      worker.forgetClock();
      worker.pausedUntil = Math.max(worker.pausedUntil, now + settings.roomPauseMs);
      return;
    case START_ANSWER.noCapacity:
      worker.pausedUntil = Math.max(worker.pausedUntil, now + settings.roomPauseMs);
      return;
    default:
      worker.pausedUntil = Math.max(worker.pausedUntil, now + settings.refusedPauseMs);
  }
}
