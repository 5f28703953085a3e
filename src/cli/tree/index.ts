/** `bilberrystand tree`: reads and edits the settings tree in the platform store. */
import { randomUUID } from 'node:crypto';
import * as fs from 'node:fs';
import { defineCommand } from 'citty';
import * as toml from 'smol-toml';
import * as errors from '../../core/errors/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import { TreeStore } from '../../entry/settings/tree-store.js';
import { jsonArg, platformArg, printFailure, printJson, withPlatform } from '../shared/index.js';
import { editsToMatch, parsePairs, toDocument } from './values.js';

const pathArg = { type: 'positional', required: true, description: 'Path of a node.' } as const;
const fileArg = { type: 'positional', required: true, description: 'TOML file.' } as const;

function readDocument(file: string): Record<string, unknown> {
  return toml.parse(fs.readFileSync(file, 'utf8'));
}

function fileFailure(file: string, err: unknown): errors.Failure {
  const { InvalidSettings } = errors.data;
  return errors.createFailure(InvalidSettings, 'read file', file, errors.describe(err));
}

async function edit(
  platform: string,
  makeEdits: (tree: settingsTree.Tree) => readonly settingsTree.NodeEdit[],
): Promise<void> {
  await withPlatform(platform, async (client) => {
    const store = new TreeStore(client);
    const before = await store.read();
    if (before.isErr) {
      printFailure(before.error);
      return;
    }
    const edits = makeEdits(before.value.tree);
    if (edits.length === 0) {
      console.log(`nothing to change at revision ${before.value.tree.revision}`);
      return;
    }
    const after = await store.edit(edits, randomUUID(), before.value.tree);
    if (after.isErr) printFailure(after.error);
    else console.log(`revision ${after.value.tree.revision}`);
  });
}

async function withTree(
  platform: string,
  print: (stored: settingsTree.Tree) => void,
): Promise<void> {
  await withPlatform(platform, async (client) => {
    const stored = await new TreeStore(client).read();
    if (stored.isErr) printFailure(stored.error);
    else print(stored.value.tree);
  });
}

const getCommand = defineCommand({
  meta: { name: 'get', description: 'Show a node.' },
  args: {
    path: pathArg,
    platform: platformArg,
    json: jsonArg,
    effective: {
      type: 'boolean',
      default: false,
      description: 'Show inherited values and the node that each comes from.',
    },
  },
  async run({ args }) {
    await withTree(args.platform, (tree) => {
      const own = tree.nodes.get(args.path) ?? {};
      const effective = settingsTree.effectiveValues(tree, args.path);
      if (args.json) printJson(args.effective ? effective : own);
      else if (args.effective) {
        effective.forEach(({ name, value, from }) => {
          console.log(`${name} = ${JSON.stringify(value)}  (${from})`);
        });
      } else console.log(toml.stringify(own));
    });
  },
});

const setCommand = defineCommand({
  meta: { name: 'set', description: 'Set values of a node: tree set PATH name=value …' },
  args: { path: pathArg, platform: platformArg },
  async run({ args }) {
    const values = parsePairs(args._.slice(1));
    if (values.isErr) {
      printFailure(values.error);
      return;
    }
    const { path } = args;
    await edit(args.platform, (tree) => [
      { path, values: { ...tree.nodes.get(path), ...values.value } },
    ]);
  },
});

const unsetCommand = defineCommand({
  meta: {
    name: 'unset',
    description: 'Remove a node with its descendants, or some of its values.',
  },
  args: { path: pathArg, platform: platformArg },
  async run({ args }) {
    const { path } = args;
    const names = args._.slice(1);
    await edit(args.platform, (tree) => {
      const own = tree.nodes.get(path);
      if (names.length === 0) return own === undefined ? [] : [{ path, values: null }];
      const kept = Object.entries(own ?? {}).filter(([name]) => !names.includes(name));
      return [{ path, values: Object.fromEntries(kept) }];
    });
  },
});

const applyCommand = defineCommand({
  meta: { name: 'apply', description: 'Make the tree equal to a TOML file, except for keys.' },
  args: { file: fileArg, platform: platformArg },
  async run({ args }) {
    let document: Record<string, unknown>;
    try {
      document = readDocument(args.file);
    } catch (err) {
      printFailure(fileFailure(args.file, err));
      return;
    }
    await edit(args.platform, (tree) => editsToMatch(tree, document));
  },
});

const exportCommand = defineCommand({
  meta: { name: 'export', description: 'Print the tree as TOML.' },
  args: { platform: platformArg },
  async run({ args }) {
    await withTree(args.platform, (tree) => console.log(toml.stringify(toDocument(tree))));
  },
});

const historyCommand = defineCommand({
  meta: { name: 'history', description: 'Show the latest edits.' },
  args: { platform: platformArg, json: jsonArg },
  async run({ args }) {
    await withPlatform(args.platform, async (client) => {
      const stored = await new TreeStore(client).read();
      if (stored.isErr) printFailure(stored.error);
      else if (args.json) printJson(stored.value.root.edits);
      else {
        stored.value.root.edits.forEach(({ revision, atMs, paths }) => {
          console.log(`${revision}  ${new Date(atMs).toISOString()}  ${paths.join(' ')}`);
        });
      }
    });
  },
});

const diffCommand = defineCommand({
  meta: { name: 'diff', description: 'Show what applying a TOML file would change.' },
  args: { file: fileArg, platform: platformArg, json: jsonArg },
  async run({ args }) {
    await withTree(args.platform, (tree) => {
      const edits = editsToMatch(tree, readDocument(args.file));
      if (args.json) printJson(edits);
      else {
        edits.forEach(({ path, values }) => {
          const before = JSON.stringify(tree.nodes.get(path) ?? null);
          console.log(`${path}\n  - ${before}\n  + ${JSON.stringify(values)}`);
        });
      }
    });
  },
});

export const treeCommand = defineCommand({
  meta: { name: 'tree', description: 'Read and edit the settings tree.' },
  subCommands: {
    get: getCommand,
    set: setCommand,
    unset: unsetCommand,
    apply: applyCommand,
    export: exportCommand,
    history: historyCommand,
    diff: diffCommand,
  },
});
