export * from './event-ring';
export * from './logger';
export * from './settings-file';
export * from './shutdown';
export * from './timer-service';
export * from './listen';
export * from './rpc';
export * from './timeout-signal';
