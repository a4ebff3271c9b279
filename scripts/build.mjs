import { build } from 'esbuild';

const binaries = {
  sequoiaquay: 'packages/cli/src/main.ts',
  'sequoiaquay-control': 'packages/control/src/main.ts',
  'sequoiaquay-entry': 'packages/entry/src/main.ts',
  'stand-in-executor': 'packages/stand-ins/src/executor-main.ts',
  'stand-in-fault-proxy': 'packages/stand-ins/src/fault-proxy-main.ts',
  'stand-in-platform': 'packages/stand-ins/src/platform-main.ts',
  'stand-in-worker': 'packages/stand-ins/src/worker-main.ts',
};

await build({
  // Some bundled CommonJS dependencies call require() for Node's built-in modules.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  bundle: true,
  entryPoints: binaries,
  external: ['dtrace-provider', 'source-map-support'],
  format: 'esm',
  logLevel: 'warning',
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  platform: 'node',
  target: 'node20',
});
