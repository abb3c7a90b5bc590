import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/** Packages from the lowest layer to the highest; a package imports only from the layers before it. */
const LAYERS = [
  'base',
  'scheduling',
  'schema',
  'store',
  'config',
  'fleet',
  'routing',
  'claims',
  'dispatch',
  'operators',
  'node',
  'ctl',
  'standins',
  'lab',
];

/** Packages with binaries are published under the product's name; all others are scoped. */
const PACKAGE_NAMES = new Map([
  ['node', 'parsleymux'],
  ['ctl', 'parsleyctl'],
]);

/** The verbs that function names may begin with; docs/NAMING.md gives the meaning of each. */
const VERBS =
  'accept|add|advance|announce|apply|assert|audit|build|cancel|check|choose|claim|clear|close|commit|compare|compute|' +
  'confirm|copy|count|create|decide|decode|describe|discard|dispatch|dispose|eject|' +
  'encode|end|ensure|estimate|execute|fetch|find|finish|fire|flush|format|forward|get|handle|has|hash|' +
  'is|join|list|listen|load|log|look|make|mark|match|measure|merge|notify|observe|on|open|parse|pick|plan|poll|' +
  'print|probe|propose|push|put|rank|read|receive|record|refuse|register|release|remove|render|replay|' +
  'request|reserve|reset|resolve|restore|retire|return|revoke|rotate|run|sample|scan|seed|send|serve|set|settle|' +
  'sleep|sort|spend|start|stop|store|stream|submit|summarize|take|throw|to|track|transact|try|update|validate|' +
  'verify|visit|wait|watch|with|wrap|write';

const VERB_RULE = { regex: `^(${VERBS})([A-Z0-9].*)?$`, match: true };

/** The layers that the adapter to the users' platform, which lies beside the packages, may import. */
const ADAPTER_LAYERS = new Set(['base', 'scheduling', 'schema', 'routing', 'dispatch']);

/** Formats a pattern that matches all packages at or above `index`, and the stand-ins except for the lab. */
function formatForbiddenPattern(layer, index) {
  const forbidden = new Set(LAYERS.slice(index));
  if (layer !== 'lab') forbidden.add('standins');
  forbidden.add('platform');
  const names = [...forbidden].map((name) => PACKAGE_NAMES.get(name) ?? `@parsleymux/${name}`);
  return `^(${names.join('|')})(/|$)`;
}

/** The adapter imports the product's packages; no package of the product imports the adapter. */
function makeAdapterRule() {
  const forbidden = LAYERS.filter((layer) => !ADAPTER_LAYERS.has(layer));
  const names = forbidden.map((name) => PACKAGE_NAMES.get(name) ?? `@parsleymux/${name}`);
  return {
    files: ['platform/src/**/*.ts'],
    // Helpers of tests simulate the users' platform with stand-ins, as the tests do.
    ignores: ['**/*.test.ts', 'platform/src/test/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: `^(${names.join('|')})(/|$)`,
              message:
                'The adapter only translates and may not import this layer; see docs/ARCHITECTURE.md.',
            },
          ],
        },
      ],
    },
  };
}

function makeLayerRules() {
  return LAYERS.map((layer, index) => ({
    files: [`packages/${layer}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: formatForbiddenPattern(layer, index),
              message: 'A package may import only from lower layers; see docs/ARCHITECTURE.md.',
            },
          ],
        },
      ],
    },
  }));
}

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'packages/schema/src/gen/**',
      'out/**',
      'target/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/no-import-type-side-effects': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'function', format: ['camelCase'], custom: VERB_RULE },
        { selector: 'classMethod', modifiers: ['override'], format: null },
        { selector: 'classMethod', format: ['camelCase'], custom: VERB_RULE },
        { selector: 'typeLike', format: ['PascalCase'] },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/naming-convention': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'it', 'describe', 'suite'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    files: ['**/*.mjs', 'packages/*/bin/*.js'],
    languageOptions: {
      globals: { console: 'readonly', process: 'readonly', URL: 'readonly' },
    },
  },
  ...makeLayerRules(),
  makeAdapterRule(),
  {
    files: ['packages/*/src/**/common/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration[source.value=/[/]node[/]/]',
          message: 'Files under common/ may not import from node/.',
        },
        {
          selector:
            'ImportDeclaration[source.value=/^node:(http|https|net|tls|fs|child_process)$/]',
          message:
            'Files under common/ access the operating system only through injected services.',
        },
      ],
    },
  },
  prettier,
);
