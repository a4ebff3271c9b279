/** A maintenance wave that the operators ask for. */
export interface Wave {
  /** Time in which all VMs are due, in ms. */
  durationMs: number;
  id: number;
  /** Most VMs that may be down for the wave at once. */
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

/** What the platform says of a VM. */
export interface VmInfo {
  id: string;
  /** What tasks may require of the worker on the VM, its rack included. */
  labels: readonly string[];
  pool: string;
  rack: string;
  state: (typeof VM_STATE)[keyof typeof VM_STATE];
  /** Worker that runs on the VM; empty when there is none. */
  workerId: string;
  zone: string;
}
