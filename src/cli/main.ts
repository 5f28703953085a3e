/** Entry point of the command line. */
import './signals/index.js';
import { defineCommand, runMain } from 'citty';
import { checkCommand } from './check/index.js';
import { keyCommand } from './key/index.js';
import { serveCommand } from './serve/index.js';
import { standinCommand } from './standin/index.js';
import { explainCommand, statusCommand } from './status/index.js';
import { treeCommand } from './tree/index.js';

const main = defineCommand({
  meta: {
    name: 'bilberrystand',
    version: '0.1.0',
    description: 'Serves many rarely used language models.',
  },
  subCommands: {
    serve: serveCommand,
    check: checkCommand,
    tree: treeCommand,
    key: keyCommand,
    status: statusCommand,
    explain: explainCommand,
    standin: standinCommand,
  },
});

void runMain(main);
