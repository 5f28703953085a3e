/** What differs between a configuration and the one in force. */
import {
  createFinding,
  type DraftEntry,
  type Finding,
  FindingKind,
  EntryKind,
  type PlanDraft,
  subjectOf,
} from './types.js';

const ABSENT = 'none';

function bySubject(entries: readonly DraftEntry[]): ReadonlyMap<string, DraftEntry> {
  return new Map(entries.map((entry) => [subjectOf(entry.kind, entry.name), entry]));
}

function describeFields(before: DraftEntry, after: DraftEntry): string {
  return [...new Set([...before.fields.keys(), ...after.fields.keys()])]
    .map((field) => ({
      field,
      old: before.fields.get(field) ?? ABSENT,
      now: after.fields.get(field) ?? ABSENT,
    }))
    .filter(({ old, now }) => old !== now)
    .map(({ field, old, now }) => `${field} ${old} -> ${now}`)
    .join('; ');
}

function findEntryChanges(current: PlanDraft, next: PlanDraft): readonly Finding[] {
  const before = bySubject(current.entries);
  const after = bySubject(next.entries);
  const removed = [...before.keys()]
    .filter((subject) => !after.has(subject))
    .map((subject) => createFinding(FindingKind.removed, subject, 'removed'));
  const others = [...after].flatMap(([subject, entry]) => {
    const old = before.get(subject);
    if (old === undefined) return [createFinding(FindingKind.added, subject, 'added')];
    const detail = describeFields(old, entry);
    return detail === '' ? [] : [createFinding(FindingKind.changed, subject, detail)];
  });
  return [...removed, ...others];
}

function keysByCustomer({ keyHolders }: PlanDraft): ReadonlyMap<string, ReadonlySet<string>> {
  const keys = new Map<string, Set<string>>();
  keyHolders.forEach(({ customer, keyHash }) =>
    keys.set(customer, (keys.get(customer) ?? new Set()).add(keyHash)),
  );
  return keys;
}

function findKeyChanges(current: PlanDraft, next: PlanDraft): readonly Finding[] {
  const before = keysByCustomer(current);
  const after = keysByCustomer(next);
  return [...new Set([...before.keys(), ...after.keys()])].flatMap((customer) => {
    const old = before.get(customer) ?? new Set();
    const now = after.get(customer) ?? new Set();
    const added = [...now].filter((key) => !old.has(key)).length;
    const removed = [...old].filter((key) => !now.has(key)).length;
    if (added === 0 && removed === 0) return [];
    const detail = `${added} keys added, ${removed} removed, ${now.size} in all`;
    const subject = subjectOf(EntryKind.customer, customer);
    return [createFinding(FindingKind.keysChanged, subject, detail)];
  });
}

function findKeyNeed(current: PlanDraft, next: PlanDraft): readonly Finding[] {
  if (current.plan.needsKeys === next.plan.needsKeys) return [];
  const detail = next.plan.needsKeys ? 'requests now need a key' : 'requests no longer need a key';
  return [createFinding(FindingKind.changed, 'customers', detail)];
}

/** Entry VMs ignore a configuration whose version is not above the one that they know. */
function findVersion(current: PlanDraft, next: PlanDraft): readonly Finding[] {
  const { version } = next.plan;
  if (version > current.plan.version) return [];
  const detail = `${version} is not above ${current.plan.version}, so that entry VMs ignore it`;
  return [createFinding(FindingKind.versionNotRaised, 'version', detail)];
}

export function findChanges(current: PlanDraft, next: PlanDraft): readonly Finding[] {
  return [findVersion, findKeyNeed, findEntryChanges, findKeyChanges].flatMap((find) =>
    find(current, next),
  );
}
