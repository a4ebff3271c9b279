import type { Chart } from './chart';

/** State of a VM in the fleet. */
export type VmState = 'draining' | 'released' | 'serving';

/** Event of a VM's life. */
export type VmEvent = 'cleared' | 'drain' | 'returned' | 'undrain';

/** Life of a VM: serving, draining until every member is clear, then released. */
export const vmChart: Chart<VmState, VmEvent> = {
  initial: 'serving',
  states: {
    draining: { cleared: 'released', undrain: 'serving' },
    released: { returned: 'serving' },
    serving: { drain: 'draining' },
  },
};
