import type { Chart } from './chart';

/** Stage of a VM in a maintenance wave. */
export type WaveStage = 'done' | 'evacuating' | 'maintenance' | 'ordered' | 'pending';

/** Event that changes the stage of a VM in a maintenance wave. */
export type WaveEvent = 'confirm' | 'order' | 'refuse' | 'return' | 'select';

/**
 * Stages of a VM in a maintenance wave: it is evacuated, its maintenance is ordered and begins, and the VM returns. A
 * VM that was refused or given up is selected again later; its maintenance may begin before that by an earlier order.
 * A VM whose maintenance an earlier leader recorded goes from pending to maintenance directly.
 */
export const waveVmChart: Chart<WaveStage, WaveEvent> = {
  initial: 'pending',
  states: {
    done: {},
    evacuating: { confirm: 'maintenance', order: 'ordered', refuse: 'pending' },
    maintenance: { return: 'done' },
    ordered: { confirm: 'maintenance', refuse: 'pending' },
    pending: { confirm: 'maintenance', select: 'evacuating' },
  },
};
