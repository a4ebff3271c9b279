import type { Chart } from './chart';

/** State of a VM in the fleet. */
export type VmState = 'draining' | 'released' | 'serving';

/** Event that changes the state of a VM. */
export type VmEvent = 'cleared' | 'drain' | 'returned' | 'undrain';

/** States of a VM: serving, draining until no member has work in flight on it, then released. */
export const vmChart: Chart<VmState, VmEvent> = {
  initial: 'serving',
  states: {
    draining: { cleared: 'released', undrain: 'serving' },
    released: { returned: 'serving' },
    serving: { drain: 'draining' },
  },
};
