import { build } from 'esbuild';

/**
 * Joins the platform's program and all it imports in one file. Loading several hundred modules one
 * by one takes longer than everything else at a start; packages are read as TypeScript, so nothing
 * is written outside of target/.
 */
await build({
  entryPoints: ['platform/src/app/main.ts'],
  outfile: 'target/parsleymux-platform.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  sourcemap: 'linked',
  minifyWhitespace: true,
  legalComments: 'none',
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
