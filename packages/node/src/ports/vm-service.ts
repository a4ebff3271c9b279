import type { VmInfo } from '@sequoiaquay/core/jobs';
import type { ResultAsync } from 'neverthrow';

/** Possible outcomes of an order to the VM service. */
export const VM_ORDER_OUTCOME = {
  /** The VM is not up, or its worker is shutting down. */
  busy: 'busy',
  done: 'done',
  /** The VM has received orders with a higher fencing token. */
  fenced: 'fenced',
  /** The service accepts no more calls for now and has done nothing. */
  limited: 'limited',
  /** The order is not valid for the VM. */
  refused: 'refused',
  /** The outcome is not known, or the service is unavailable. */
  unknown: 'unknown',
} as const;

/** Outcome of an order to the VM service. */
export type VmOrderOutcome = (typeof VM_ORDER_OUTCOME)[keyof typeof VM_ORDER_OUTCOME];

/** Arguments that all orders for a VM share. */
export interface VmOrder {
  /** Fencing token of the leader that gives the order. */
  epoch: number;
  /** Name of the node that gives the order. */
  holder: string;
  /**
   * Checked when the order is about to be written to a connection: it may have waited for one, or the process may
   * have been paused, and the permission to send it may have expired since.
   */
  maySend: () => boolean;
  signal: AbortSignal;
  timeoutMs: number;
  vm: string;
}

/** Service of the platform that manages the VMs of the pools. */
export interface VmService {
  /** Lists the VMs of all pools; `timeoutMs` limits the time to the first byte of each page. */
  listVms: (timeoutMs: number, signal: AbortSignal) => ResultAsync<VmInfo[], string>;
  /** Moves a VM to another pool. */
  moveToPool: (order: VmOrder, pool: string) => Promise<VmOrderOutcome>;
  /** Shuts a VM down for maintenance as part of a wave. */
  startMaintenance: (order: VmOrder, wave: number) => Promise<VmOrderOutcome>;
}
