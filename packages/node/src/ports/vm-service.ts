import type { VmInfo } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Outcomes of an order to the VM service. */
export const VM_ANSWER = {
  /** The VM is not up, or its worker is leaving. */
  busy: 'busy',
  done: 'done',
  /** A later holder has given orders for the VM. */
  fenced: 'fenced',
  /** The order makes no sense for the VM. */
  refused: 'refused',
  /** Not known, or not now. */
  unknown: 'unknown',
} as const;

/** Outcome of an order to the VM service. */
export type VmAnswer = (typeof VM_ANSWER)[keyof typeof VM_ANSWER];

/** An order for a VM. */
export interface VmOrder {
  /** Term of the leader that gives the order. */
  epoch: number;
  /** Name of the node that gives the order. */
  holder: string;
  limitMs: number;
  signal: AbortSignal;
  vm: string;
}

/** The platform's service for the VMs of the pools. */
export interface VmService {
  /** All VMs. */
  list: (limitMs: number, signal: AbortSignal) => ResultAsync<VmInfo[], string>;
  /** Takes a VM down for the maintenance of a wave. */
  maintain: (order: VmOrder, wave: number) => Promise<VmAnswer>;
  /** Moves a VM to another pool. */
  move: (order: VmOrder, pool: string) => Promise<VmAnswer>;
}
