export * from './entry-settings';
export type * from './entry-status';
export type * from './peer-router';
export * from './refusal';
export type { TaskView } from './tasks/task-api';
export * from './tasks/task-settings';
