import { build } from 'esbuild';
import { chmod } from 'node:fs/promises';
import { parseArgs } from 'node:util';

const binaries = {
  quickstart: 'packages/stand-ins/src/quickstart-main.ts',
  bench: 'packages/bench/src/main.ts',
  capacity: 'packages/bench/src/capacity/capacity-main.ts',
  sequoiaquay: 'packages/cli/src/main.ts',
  'sequoiaquay-check-config': 'platform/src/check-config.ts',
  'sequoiaquay-control': 'packages/control/src/main.ts',
  'sequoiaquay-entry': 'packages/entry/src/main.ts',
  'sequoiaquay-logs': 'packages/cli/src/logs-main.ts',
  'sequoiaquay-node': 'platform/src/main.ts',
  'stand-in-executor': 'packages/stand-ins/src/executor-main.ts',
  'stand-in-fault-proxy': 'packages/stand-ins/src/fault-proxy-main.ts',
  'stand-in-platform': 'packages/stand-ins/src/platform-main.ts',
  'stand-in-worker': 'packages/stand-ins/src/worker-main.ts',
};

// The control process has a memory limit of 64 MB per node. With V8's default heap limits, it grows to 76 MB
// of resident memory before a garbage collection.
const nodeFlags = { 'sequoiaquay-control': '--max-semi-space-size=1 --max-old-space-size=24' };

// Some bundled CommonJS dependencies call require() for Node's built-in modules.
const requireShim =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";

// `--outdir DIR` sets the output directory; NAME... limits the build to these binaries.
const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { outdir: { default: 'dist', type: 'string' } },
});
const chosen = positionals.length === 0 ? Object.keys(binaries) : positionals;

await Promise.all(chosen.map((name) => buildBinary(name, binaries[name])));

async function buildBinary(name, source) {
  await build({
    banner: { js: `#!/usr/bin/env -S node ${nodeFlags[name] ?? ''}\n${requireShim}` },
    bundle: true,
    entryPoints: { [name]: source },
    external: ['dtrace-provider', 'source-map-support'],
    format: 'esm',
    logLevel: 'warning',
    // Minified, because V8 keeps the source text of a bundle in memory.
    minifySyntax: true,
    minifyWhitespace: true,
    outdir: values.outdir,
    outExtension: { '.js': '.mjs' },
    platform: 'node',
    target: 'node20',
  });
  await chmod(`${values.outdir}/${name}.mjs`, 0o755);
}
