export * from './fault-proxy';
export * from './executor-stand-in';
export * from './misbehaviour';
export * from './platform-faults';
export * from './platform-stand-in';
export * from './random';
export * from './stream-store';
