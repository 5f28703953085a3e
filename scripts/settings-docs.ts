/** `npm run docs:settings`: generates docs/SETTINGS.md from the schemas. */
import * as fs from 'node:fs';
import { z } from 'zod';
import { settingsSchema } from '../src/core/settings/index.js';
import {
  DEFAULT_VALUES,
  INHERITED_NAMES,
  nodeSchema,
} from '../src/decisions/settings-tree/index.js';

interface JsonSchema {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly default?: unknown;
  readonly description?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly anyOf?: readonly JsonSchema[];
  readonly oneOf?: readonly JsonSchema[];
}

function typeOf(field: JsonSchema): string {
  if (field.enum !== undefined) return field.enum.join(' \\| ');
  if (field.anyOf !== undefined) return field.anyOf.map(typeOf).join(' or ');
  return field.type ?? '';
}

function rowsOf(schema: JsonSchema, prefix: string): readonly string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    // Of several variants, the last one has the most fields.
    const nested = field.oneOf?.at(-1) ?? field;
    if (nested.properties !== undefined) return rowsOf(nested, `${path}.`);
    const type = typeOf(field);
    const fallback = field.default === undefined ? '' : `\`${JSON.stringify(field.default)}\``;
    return [`| \`${path}\` | ${type} | ${fallback} | ${field.description ?? ''} |`];
  });
}

const file = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema;
const node = z.toJSONSchema(nodeSchema, { io: 'input' }) as JsonSchema;
const defaults: Readonly<Record<string, unknown>> = DEFAULT_VALUES;
const nodeRows = Object.entries(node.properties ?? {}).map(([name, field]) => {
  const type = typeOf(field);
  const fallback = defaults[name] === undefined ? '' : `\`${JSON.stringify(defaults[name])}\``;
  const passedOn = (INHERITED_NAMES as readonly string[]).includes(name) ? 'yes' : 'no';
  return `| \`${name}\` | ${type} | ${fallback} | ${passedOn} | ${field.description ?? ''} |`;
});
const text = [
  '# Settings',
  '',
  'Written by `npm run docs:settings` from the schemas.',
  '',
  '## The settings file (TOML)',
  '',
  '| setting | type | default | |',
  '| --- | --- | --- | --- |',
  ...rowsOf(file, ''),
  '',
  '## Nodes of the settings tree',
  '',
  'Paths: `/`, `/services/S`, `/services/S/models/M`, `/services/S/models/M/adapters/A`,',
  '`/customers/C`, `/customers/C/keys/K`, `/backends/GROUP/B`, and the groups between them. A node',
  'passes the values marked "yes" on to the nodes below it.',
  '',
  '| value | type | default | passed on | |',
  '| --- | --- | --- | --- | --- |',
  ...nodeRows,
  '',
].join('\n');
fs.writeFileSync('docs/SETTINGS.md', text);
