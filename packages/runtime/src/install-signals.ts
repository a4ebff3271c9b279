import { processSignals } from './process-signals';

// Imported before all else, so that a signal during the start, which takes long on a small VM, does not end the process.
processSignals.install();
