import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/** Decisions are pure: time and randomness are passed in, and all I/O happens in the tasks. */
const decisionRules = {
  'no-restricted-globals': [
    'error',
    'setTimeout',
    'setInterval',
    'setImmediate',
    'performance',
    'process',
    'fetch',
  ],
  'no-restricted-properties': [
    'error',
    { object: 'Date', property: 'now' },
    { object: 'Math', property: 'random' },
  ],
  'no-restricted-imports': [
    'error',
    {
      patterns: [
        { group: ['**/entry/**', '**/standins/**', '**/lab/**', '**/cli/**'] },
        { group: ['node:*', '!node:crypto'] },
      ],
    },
  ],
};

const syntaxRules = [
  { selector: 'ForInStatement', message: 'Iterate over Object.keys.' },
  { selector: 'ForOfStatement[await=false]', message: 'Use array methods.' },
  { selector: 'LabeledStatement', message: 'Labels are a form of GOTO.' },
  { selector: 'WithStatement', message: 'With is disallowed in strict mode.' },
];

/** Names of the users' platform, which only `platform/` knows. */
const PLATFORM_NAMES =
  '/(^deadline-ms$|attempt-id|response-seal|server-limit|target-instance|token-count|prompt-prefix|not-executed|request-priority|path_prefix|route_kind|engine_slots|cold_remaining|at_hand|model_load|model_unload|v1.(order|report|objects|readiness))/';
const platformNameRules = ['Literal[value=', 'TemplateElement[value.raw=', 'Identifier[name='].map(
  (start) => ({
    selector: `${start}${PLATFORM_NAMES}]`,
    message: "Names of the platform's wire belong to platform/.",
  }),
);

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'reports/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.js'] } },
    },
    rules: {
      // House style: named exports throughout, imported as namespaces.
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      // Tasks hold polling loops and state that methods of one interface need not all touch.
      'no-await-in-loop': 'off',
      'class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      // As in the guide, but streams are read by `for await`.
      'no-restricted-syntax': ['error', ...syntaxRules],
      'no-void': ['error', { allowAsStatement: true }],
      'no-underscore-dangle': 'off',
      'no-continue': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/method-signature-style': ['error', 'method'],
    },
  },
  { files: ['src/decisions/**/*.ts'], rules: decisionRules },
  {
    files: ['src/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...syntaxRules, ...platformNameRules] },
  },
  {
    files: ['src/cli/**/*.ts', 'src/lab/**/*.ts', 'scripts/**/*.ts'],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['src/lab/**/*.ts', 'test/**/*.ts', 'scripts/**/*.ts', '*.ts', '*.js'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
);
