export * from './fault-proxy';
export * from './executor-stand-in';
export * from './platform-faults';
export * from './platform-stand-in';
export * from './random';
export * from './stream-store';
export * from './worker-stand-in';
export * from './worker-run';
