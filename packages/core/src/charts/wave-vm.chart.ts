import type { Chart } from './chart';

/** Stages of a VM in a maintenance wave. */
export type WaveStage = 'begun' | 'done' | 'emptying' | 'ordered' | 'pending';

/** Events in the course of a VM through a wave. */
export type WaveEvent = 'back' | 'choose' | 'confirm' | 'order' | 'refuse';

/** Course of a VM through a wave: emptied, ordered down, down, and back. */
export const waveVmChart: Chart<WaveStage, WaveEvent> = {
  initial: 'pending',
  states: {
    begun: { back: 'done' },
    done: {},
    emptying: { order: 'ordered', refuse: 'pending' },
    ordered: { confirm: 'begun', refuse: 'pending' },
    pending: { choose: 'emptying', confirm: 'begun' },
  },
};
