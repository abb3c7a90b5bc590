import { fileURLToPath } from 'node:url';

/** Modules that replace those of packages in the program, by the end of their path as it is imported. */
const REPLACEMENTS = [
  { filter: /^undici$/, path: 'undiciParts.cjs' },
  // HTTP/2, which no connection of the program allows, and pushing of metrics also load TLS and HTTPS.
  { filter: /\/client-h2(\.js)?$/, path: 'unusedModule.cjs' },
  { filter: /\/pushgateway$/, path: 'unusedModule.cjs' },
];

/** Keeps out of the program what it does not use of its packages: all of it would be loaded at each start. */
export const programModules = {
  name: 'program-modules',
  setup({ onResolve, resolve }) {
    for (const { filter, path } of REPLACEMENTS) {
      const replacement = fileURLToPath(new URL(path, import.meta.url));
      onResolve({ filter }, () => ({ path: replacement }));
    }
    // The program writes its own JSON lines, so it needs no reporters for terminals.
    onResolve({ filter: /^consola$/ }, ({ kind, resolveDir }) => {
      return resolve('consola/core', { kind, resolveDir });
    });
  },
};
