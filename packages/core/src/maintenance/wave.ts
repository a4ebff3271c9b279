import type { Demand } from '../jobs/demand';

/** A maintenance wave requested by the operators. */
export interface Wave {
  /** Time within which the maintenance of all VMs must begin, in ms. */
  durationMs: number;
  id: number;
  /** Maximum number of VMs that may be down for the wave at once. */
  maxAtOnce: number;
  vms: string[];
}

/** States of a VM. */
export const VM_STATE = {
  down: 'down',
  maintenance: 'maintenance',
  moving: 'moving',
  up: 'up',
} as const;

/** A VM as the platform lists it. */
export interface VmInfo {
  /** Capacity of the VM's worker; undefined if it is not stated. */
  capacity?: Demand | undefined;
  id: string;
  /** Labels that tasks may require of the worker on the VM, including its rack. */
  labels: readonly string[];
  pool: string;
  rack: string;
  state: (typeof VM_STATE)[keyof typeof VM_STATE];
  /** Worker that runs on the VM; empty when there is none. */
  workerId: string;
  zone: string;
}
