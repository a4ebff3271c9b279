export * from './guard-limits';
export * from './guard-stats';
export * from './listen-guarded';
export type { ServerGuard } from './server-guard';
