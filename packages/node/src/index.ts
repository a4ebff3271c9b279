export * from './caller-service';
export * from './node';
export * from './node-settings';
export * from './ports/advice-service';
export * from './ports/fleet-feed';
export * from './ports/keyed-stream';
export * from './ports/vm-service';
export * from './ports/worker-link';
