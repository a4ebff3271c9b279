export * from './batch-appender';
export * from './log-client';
export * from './platform-error';
export * from './platform-http';
export * from './vm-list-client';
export * from './fleet-replica';
export * from './fleet-source';
export * from './member-joiner';
