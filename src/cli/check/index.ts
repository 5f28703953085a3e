/** `bilberrystand check`: validates a settings file. */
import { defineCommand } from 'citty';
import { readSettings } from '../../core/settings/index.js';
import { jsonArg, printFailure, printJson } from '../shared/index.js';

export const checkCommand = defineCommand({
  meta: { name: 'check', description: 'Validate a settings file and list all issues.' },
  args: {
    settings: { type: 'string', required: true, description: 'Settings file (TOML).' },
    json: jsonArg,
  },
  run({ args }) {
    const settings = readSettings(args.settings);
    if (settings.isErr) printFailure(settings.error);
    else if (args.json) printJson(settings.value);
    else console.log(`${args.settings}: no faults`);
  },
});
