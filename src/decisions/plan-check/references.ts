/** Errors of entries that refer to each other: missing services, duplicate names, shared keys. */
import type { Route } from '../fleet-plan/index.js';
import {
  createFinding,
  type Finding,
  FindingKind,
  EntryKind,
  type PlanDraft,
  subjectOf,
} from './types.js';

/** Returns a route's name, or its host and prefix if it has none. */
export function routeLabel({ name, host, pathPrefix }: Route): string {
  return name === '' ? `${host}${pathPrefix}` : name;
}

export function routeSubject(route: Route): string {
  return subjectOf(EntryKind.route, routeLabel(route));
}

export function totalWeight({ targets }: Route): number {
  return targets.reduce((sum, { weight }) => sum + weight, 0);
}

function findTargetErrors({ plan }: PlanDraft): readonly Finding[] {
  return plan.routes.flatMap((route) => {
    const subject = routeSubject(route);
    if (route.targets.length === 0) {
      return [createFinding(FindingKind.noTarget, subject, 'names no service')];
    }
    const unknown = route.targets
      .filter(({ service }) => !plan.services.has(service))
      .map(({ service }) => {
        const detail = `service ${JSON.stringify(service)} does not exist`;
        return createFinding(FindingKind.unknownService, subject, detail);
      });
    const detail = 'all weights of the traffic split are 0';
    return totalWeight(route) > 0
      ? unknown
      : [...unknown, createFinding(FindingKind.noWeight, subject, detail)];
  });
}

function findDuplicateNames({ entries }: PlanDraft): readonly Finding[] {
  const counts = new Map<string, number>();
  entries
    .filter(({ isNamed }) => isNamed)
    .map(({ kind, name }) => subjectOf(kind, name))
    .forEach((subject) => counts.set(subject, (counts.get(subject) ?? 0) + 1));
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([subject, count]) =>
      createFinding(FindingKind.duplicateName, subject, `${count} entries have this name`),
    );
}

function findSharedKeys({ keyHolders }: PlanDraft): readonly Finding[] {
  const holders = new Map<string, Set<string>>();
  keyHolders.forEach(({ customer, keyHash }) =>
    holders.set(keyHash, (holders.get(keyHash) ?? new Set()).add(customer)),
  );
  return [...holders.values()]
    .filter((customers) => customers.size > 1)
    .map((customers) => {
      const [first = '', ...others] = customers;
      const detail = `one of its keys is also held by ${others.map((name) => JSON.stringify(name)).join(', ')}`;
      return createFinding(FindingKind.sharedKey, subjectOf(EntryKind.customer, first), detail);
    });
}

export function findReferenceErrors(draft: PlanDraft): readonly Finding[] {
  return [...findTargetErrors(draft), ...findDuplicateNames(draft), ...findSharedKeys(draft)];
}
