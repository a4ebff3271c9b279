export type * from './control-router';
export * from './control-settings';
export * from './control-source';
