import type { Err } from 'neverthrow';
import { err } from 'neverthrow';
import type { FleetRefusal, RefusalReason } from './refusal';

/** Builds the result of a rejected proposal. */
export function refuse(reason: RefusalReason, detail: string): Err<never, FleetRefusal> {
  return err({ detail, reason });
}
