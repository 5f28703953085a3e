/** `bilberrystand key`: issues, revokes and lists customers' API keys. */
import { randomBytes, randomUUID } from 'node:crypto';
import { defineCommand } from 'citty';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import { digestOf, KEY_PREFIX } from '../../entry/gateway/authenticate.js';
import { TreeStore } from '../../entry/settings/tree-store.js';
import { jsonArg, platformArg, printFailure, printJson, withPlatform } from '../shared/index.js';

const KEY_BYTES = 24;
const ID_BYTES = 6;

const customerArg = { type: 'positional', required: true, description: 'Customer.' } as const;

async function edit(platform: string, edits: readonly settingsTree.NodeEdit[]): Promise<boolean> {
  let done = false;
  await withPlatform(platform, async (client) => {
    const after = await new TreeStore(client).edit(edits, randomUUID(), null);
    if (after.isErr) printFailure(after.error);
    done = after.isOk;
  });
  return done;
}

const addCommand = defineCommand({
  meta: { name: 'add', description: 'Issue a new key for a customer; it is printed only once.' },
  args: { customer: customerArg, platform: platformArg, json: jsonArg },
  async run({ args }) {
    const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`;
    const id = randomBytes(ID_BYTES).toString('hex');
    const path = `/customers/${args.customer}/keys/${id}`;
    const done = await edit(args.platform, [{ path, values: { sha256: digestOf(key) } }]);
    if (!done) return;
    if (args.json) printJson({ id, key });
    else console.log(`${id}  ${key}`);
  },
});

const withdrawCommand = defineCommand({
  meta: { name: 'withdraw', description: 'Revoke a key by its id.' },
  args: {
    customer: customerArg,
    id: { type: 'positional', required: true, description: 'Id of the key.' },
    platform: platformArg,
  },
  async run({ args }) {
    const path = `/customers/${args.customer}/keys/${args.id}`;
    if (await edit(args.platform, [{ path, values: null }])) console.log(`withdrawn ${args.id}`);
  },
});

const listCommand = defineCommand({
  meta: { name: 'list', description: 'List the ids of all keys.' },
  args: { platform: platformArg, json: jsonArg },
  async run({ args }) {
    await withPlatform(args.platform, async (client) => {
      const stored = await new TreeStore(client).read();
      if (stored.isErr) {
        printFailure(stored.error);
        return;
      }
      const keys = [...stored.value.tree.nodes.keys()]
        .map((path) => settingsTree.segmentsOf(path))
        .filter((segments) => segments[2] === 'keys' && segments.length === 4)
        .map(([, customer = '', , id = '']) => ({ customer, id }));
      if (args.json) printJson(keys);
      else keys.forEach(({ customer, id }) => console.log(`${customer}  ${id}`));
    });
  },
});

export const keyCommand = defineCommand({
  meta: { name: 'key', description: "Issue, revoke and list customers' keys." },
  subCommands: { add: addCommand, withdraw: withdrawCommand, list: listCommand },
});
