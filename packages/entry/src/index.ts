export * from './entry-settings';
export * from './refusal';
