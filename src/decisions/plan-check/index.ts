/** Checks an operator's configuration before it is sent. */
import { findChanges } from './changes.js';
import { findContradictions } from './contradictions.js';
import { findReferenceErrors } from './references.js';
import { type Finding, type PlanDraft, Severity } from './types.js';
import { findUnmatched } from './unmatched.js';

export * from './types.js';

/** Checks `draft`, and compares it with `current` unless that is null. */
export function checkPlan(draft: PlanDraft, current: PlanDraft | null): readonly Finding[] {
  return [
    ...findReferenceErrors(draft),
    ...findUnmatched(draft),
    ...findContradictions(draft),
    ...(current === null ? [] : findChanges(current, draft)),
  ];
}

/** Number of findings by severity. */
export function countFindings(findings: readonly Finding[]): Readonly<Record<Severity, number>> {
  const count = (severity: Severity) =>
    findings.filter((finding) => finding.severity === severity).length;
  return {
    error: count(Severity.error),
    warning: count(Severity.warning),
    change: count(Severity.change),
  };
}
