/** Time after which a run whose stop was acknowledged is ordered to stop again, in ms: longer than a stop takes. */
const STOP_REPEAT_MS = 2000;

/**
 * Whether a run that its worker lists has to be ordered to stop at a monotonic time in ms. An acknowledged order may
 * have had no effect, for example if the worker restarted and then carried out a late order to start.
 *
 * @param stopAcknowledgedAt Monotonic time at which the worker acknowledged the last order to stop it, in ms.
 */
export function needsStop(stopAcknowledgedAt: number | undefined, now: number): boolean {
  return stopAcknowledgedAt === undefined || now - stopAcknowledgedAt > STOP_REPEAT_MS;
}
