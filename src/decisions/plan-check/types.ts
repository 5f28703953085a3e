/** Findings about an operator's configuration, and the form in which it is checked. */
import type { FleetPlan } from '../fleet-plan/index.js';

export const Severity = {
  /** The configuration must not be sent. */
  error: 'error',
  /** The configuration works, but part of it has no effect or contradicts another part. */
  warning: 'warning',
  /** A difference from the configuration in force. */
  change: 'change',
} as const;
export type Severity = (typeof Severity)[keyof typeof Severity];

export const FindingKind = {
  unreadable: 'unreadable',
  invalidField: 'invalidField',
  unknownService: 'unknownService',
  noTarget: 'noTarget',
  noWeight: 'noWeight',
  duplicateName: 'duplicateName',
  sharedKey: 'sharedKey',
  versionNotRaised: 'versionNotRaised',
  ignoredField: 'ignoredField',
  hostWithPort: 'hostWithPort',
  badPrefix: 'badPrefix',
  shadowedRoute: 'shadowedRoute',
  customerWithoutKeys: 'customerWithoutKeys',
  noKeys: 'noKeys',
  unusedService: 'unusedService',
  zeroWeight: 'zeroWeight',
  objectiveAboveTimeout: 'objectiveAboveTimeout',
  burstBelowRequest: 'burstBelowRequest',
  attemptsWithoutRetry: 'attemptsWithoutRetry',
  modelAboveMemory: 'modelAboveMemory',
  noAdapterSlots: 'noAdapterSlots',
  headerTimeoutAboveIdle: 'headerTimeoutAboveIdle',
  noCommonRegion: 'noCommonRegion',
  added: 'added',
  removed: 'removed',
  changed: 'changed',
  keysChanged: 'keysChanged',
} as const;
export type FindingKind = (typeof FindingKind)[keyof typeof FindingKind];

const ERRORS: readonly FindingKind[] = [
  FindingKind.unreadable,
  FindingKind.invalidField,
  FindingKind.unknownService,
  FindingKind.noTarget,
  FindingKind.noWeight,
  FindingKind.duplicateName,
  FindingKind.sharedKey,
  FindingKind.versionNotRaised,
];

const CHANGES: readonly FindingKind[] = [
  FindingKind.added,
  FindingKind.removed,
  FindingKind.changed,
  FindingKind.keysChanged,
];

export interface Finding {
  readonly severity: Severity;
  readonly kind: FindingKind;
  /** The entry, field or file that the finding is about. */
  readonly subject: string;
  readonly detail: string;
}

function severityOf(kind: FindingKind): Severity {
  if (ERRORS.includes(kind)) return Severity.error;
  return CHANGES.includes(kind) ? Severity.change : Severity.warning;
}

export function createFinding(kind: FindingKind, subject: string, detail: string): Finding {
  return { severity: severityOf(kind), kind, subject, detail };
}

export const EntryKind = {
  route: 'route',
  service: 'service',
  model: 'model',
  customer: 'customer',
  limits: 'limits',
} as const;
export type EntryKind = (typeof EntryKind)[keyof typeof EntryKind];

/** An entry of the configuration, in its order there. */
export interface DraftEntry {
  readonly kind: EntryKind;
  /** Identifies the entry among those of its kind. */
  readonly name: string;
  /** Whether the operator gave the name; a route without a name is identified by host and prefix. */
  readonly isNamed: boolean;
  /** Values by the operator's own names of the fields, without keys. */
  readonly fields: ReadonlyMap<string, string>;
}

export interface KeyHolder {
  readonly customer: string;
  /** SHA-256 of the key, in hexadecimal. */
  readonly keyHash: string;
}

/** A decoded configuration with what the plan does not keep, such as duplicates. */
export interface PlanDraft {
  readonly plan: FleetPlan;
  readonly entries: readonly DraftEntry[];
  readonly keyHolders: readonly KeyHolder[];
  /** Allowed regions of each route, in the plan's order; null for all. */
  readonly routeRegions: readonly (readonly string[] | null)[];
  /** Allowed regions by customer; null for all. */
  readonly customerRegions: ReadonlyMap<string, readonly string[] | null>;
}

/** Returns the name of an entry as findings show it. Quotes also escape control characters. */
export function subjectOf(kind: EntryKind, name: string): string {
  return kind === EntryKind.limits ? kind : `${kind} ${JSON.stringify(name)}`;
}
