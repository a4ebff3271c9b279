export * from './arrival-trace';
export * from './event-heap';
export * from './failing-pool';
