import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

/** Replaces undici with the parts of it that the program uses. */
const undiciParts = {
  name: 'undici-parts',
  setup({ onResolve }) {
    const path = fileURLToPath(new URL('undiciParts.cjs', import.meta.url));
    onResolve({ filter: /^undici$/ }, () => ({ path }));
  },
};

/**
 * Bundles the platform's program and its imports into one file, because loading several hundred modules
 * separately takes most of the startup time. Packages are read as TypeScript, so nothing is written
 * outside target/.
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
  minifySyntax: true,
  plugins: [undiciParts],
  legalComments: 'none',
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
