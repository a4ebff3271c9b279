export * from './entry-settings';
export * from './refusal';
export type { TaskView } from './tasks/task-api';
export * from './tasks/task-settings';
