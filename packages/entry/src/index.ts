export * from './entry-settings';
export type * from './entry-status';
export type * from './peer-router';
export * from './refusal';
