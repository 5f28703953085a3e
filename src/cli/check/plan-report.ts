/** Checks a file with the operator's configuration and prints the findings. */
import * as fs from 'node:fs';
import { decodeStrictly, type StrictDecoding } from '../../../platform/config-check.js';
import * as errors from '../../core/errors/index.js';
import {
  checkPlan,
  countFindings,
  createFinding,
  type Finding,
  FindingKind,
  Severity,
} from '../../decisions/plan-check/index.js';

/** Width of the column of severities, characters. */
const SEVERITY_WIDTH = 8;

export interface PlanReport {
  readonly file: string;
  readonly counts: Readonly<Record<Severity, number>>;
  readonly findings: readonly Finding[];
}

function unreadable(file: string, detail: string): StrictDecoding {
  return { draft: null, findings: [createFinding(FindingKind.unreadable, file, detail)] };
}

function readPlan(file: string): StrictDecoding {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (err) {
    return unreadable(file, errors.describe(err));
  }
  try {
    return decodeStrictly(JSON.parse(text));
  } catch (err) {
    // The rest of the message may quote the text, and with it keys.
    const position = / at position \d+/.exec(errors.describe(err))?.[0] ?? '';
    return unreadable(file, `not valid JSON${position}`);
  }
}

/** Reads and checks `file`. It is compared with the configuration in `currentFile`, if given. */
export function reportPlan(file: string, currentFile: string | undefined): PlanReport {
  const next = readPlan(file);
  const current = currentFile === undefined ? null : readPlan(currentFile);
  const withoutCurrent =
    currentFile !== undefined && current?.draft === null
      ? unreadable(currentFile, 'cannot be decoded, so that differences are not known').findings
      : [];
  const findings = [
    ...next.findings,
    ...withoutCurrent,
    ...(next.draft === null ? [] : checkPlan(next.draft, current?.draft ?? null)),
  ];
  return { file, counts: countFindings(findings), findings };
}

/** Formats a report for a terminal, one line for each finding and one for the counts. */
export function formatReport({ file, counts, findings }: PlanReport): string {
  const { error, warning, change } = counts;
  return [
    ...findings.map(
      ({ severity, kind, subject, detail }) =>
        `${severity.padEnd(SEVERITY_WIDTH)}${subject}: ${detail} (${kind})`,
    ),
    `${file}: errors ${error}, warnings ${warning}, changes ${change}`,
  ].join('\n');
}
