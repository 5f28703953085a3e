/** `bilberrystand check`: validates a settings file and an operator's configuration. */
import { defineCommand } from 'citty';
import { readSettings } from '../../core/settings/index.js';
import { ExitCode, jsonArg, printFailure, printJson } from '../shared/index.js';
import { formatReport, type PlanReport, reportPlan } from './plan-report.js';

const USAGE = 'check needs --settings or --plan, and --current needs --plan; see check --help';

interface Output {
  /** Member that holds `json` if both files are checked. */
  readonly name: string;
  readonly json: unknown;
  readonly text: string;
}

function checkSettings(file: string): readonly Output[] {
  const settings = readSettings(file);
  if (settings.isOk) {
    return [{ name: 'settings', json: settings.value, text: `${file}: no faults` }];
  }
  printFailure(settings.error);
  return [];
}

function outputOf(report: PlanReport): Output {
  if (report.counts.error > 0) process.exitCode = ExitCode.failed;
  return { name: 'plan', json: report, text: formatReport(report) };
}

export const checkCommand = defineCommand({
  meta: {
    name: 'check',
    description:
      "Validate a settings file, an operator's configuration (--plan), or both, and list all issues. " +
      'The exit status is 0 without errors and 1 otherwise.',
  },
  args: {
    settings: { type: 'string', description: 'Settings file (TOML).' },
    plan: { type: 'string', description: "Operator's configuration (JSON) to be sent." },
    current: {
      type: 'string',
      description: 'Configuration in force (JSON); lists what --plan changes.',
    },
    json: jsonArg,
  },
  run({ args }) {
    const { settings, plan, current } = args;
    if ((settings ?? plan) === undefined || (current !== undefined && plan === undefined)) {
      console.error(USAGE);
      process.exitCode = ExitCode.failed;
      return;
    }
    const outputs = [
      ...(settings === undefined ? [] : checkSettings(settings)),
      ...(plan === undefined ? [] : [outputOf(reportPlan(plan, current))]),
    ];
    const hasBoth = settings !== undefined && plan !== undefined;
    if (!args.json) outputs.forEach(({ text }) => console.log(text));
    else if (hasBoth) {
      printJson(Object.fromEntries(outputs.map(({ name, json }) => [name, json])));
    } else outputs.forEach(({ json }) => printJson(json));
  },
});
