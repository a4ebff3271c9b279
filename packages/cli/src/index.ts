export * from './cli';
export * from './cli-error';
export * from './cli-settings';
export * from './settings-edit';
