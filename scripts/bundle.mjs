import { execFileSync } from 'node:child_process';
import { copyFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { programModules } from './programModules.mjs';

/** Where the program is written. Default: target/. */
const [, , directory = 'target'] = process.argv;

/**
 * Bundles the platform's program and its imports into one file, because loading several hundred modules
 * separately takes most of the startup time. Packages are read as TypeScript, so nothing is written
 * outside the directory. The loader runs it from a code cache, since compiling it takes a quarter of the
 * startup time.
 */
await build({
  entryPoints: ['platform/src/app/main.ts'],
  outfile: join(directory, 'parsleymux-program.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  conditions: ['source'],
  sourcemap: 'linked',
  minifyWhitespace: true,
  minifySyntax: true,
  plugins: [programModules],
  legalComments: 'none',
});
copyFileSync(
  fileURLToPath(new URL('platformLoader.cjs', import.meta.url)),
  join(directory, 'parsleymux-platform.cjs'),
);
execFileSync(
  process.execPath,
  [fileURLToPath(new URL('makeCodeCache.cjs', import.meta.url)), directory],
  { stdio: ['ignore', 'ignore', 'ignore'] },
);
