/** Entries that no request, or not the expected requests, can match. */
import { hostName, type Route } from '../fleet-plan/index.js';
import { routeSubject, totalWeight } from './references.js';
import {
  createFinding,
  type Finding,
  FindingKind,
  EntryKind,
  type PlanDraft,
  subjectOf,
} from './types.js';

function findHosts({ plan }: PlanDraft): readonly Finding[] {
  return plan.routes
    .filter(({ host }) => hostName(host) !== host)
    .map((route) => {
      const detail = 'host with a port, but requests are matched by the host name alone';
      return createFinding(FindingKind.hostWithPort, routeSubject(route), detail);
    });
}

function prefixFault(prefix: string): string | null {
  if (!prefix.startsWith('/')) return 'does not begin with a slash, so that no path matches';
  if (prefix.includes('?')) return 'contains a query, so that no path matches';
  if (!prefix.endsWith('/')) return 'does not end with a slash, so that longer names match as well';
  return null;
}

function findPrefixes({ plan }: PlanDraft): readonly Finding[] {
  return plan.routes.flatMap((route) => {
    const fault = prefixFault(route.pathPrefix);
    if (fault === null) return [];
    const detail = `prefix ${JSON.stringify(route.pathPrefix)} ${fault}`;
    return [createFinding(FindingKind.badPrefix, routeSubject(route), detail)];
  });
}

/** Of routes with the same host and prefix, the first one gets all requests. */
function findShadowedRoutes({ plan }: PlanDraft): readonly Finding[] {
  const firsts = new Map<string, Route>();
  return plan.routes.flatMap((route) => {
    const place = JSON.stringify([route.host, route.pathPrefix]);
    const first = firsts.get(place);
    if (first === undefined) {
      firsts.set(place, route);
      return [];
    }
    const detail = `${routeSubject(first)} before it has the same host and prefix`;
    return [createFinding(FindingKind.shadowedRoute, routeSubject(route), detail)];
  });
}

function findCustomersWithoutKeys({ plan, keyHolders }: PlanDraft): readonly Finding[] {
  if (plan.routes.some(({ isPublic }) => isPublic)) return [];
  const holders = new Set(keyHolders.map(({ customer }) => customer));
  return [...plan.customers.keys()]
    .filter((name) => !holders.has(name))
    .map((name) => {
      const detail = 'has no keys, and all routes need one';
      const subject = subjectOf(EntryKind.customer, name);
      return createFinding(FindingKind.customerWithoutKeys, subject, detail);
    });
}

/** Without any keys, only public routes serve requests. */
function findMissingKeys({ plan, keyHolders }: PlanDraft): readonly Finding[] {
  const isAllPublic = plan.routes.every(({ isPublic }) => isPublic);
  if (!plan.needsKeys || keyHolders.length > 0 || isAllPublic) return [];
  const detail = 'no customer has a key, so that all routes that are not public refuse requests';
  return [createFinding(FindingKind.noKeys, 'customers', detail)];
}

function findUnusedServices({ plan }: PlanDraft): readonly Finding[] {
  const used = new Set(plan.routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
  return [...plan.services.keys()]
    .filter((name) => !used.has(name))
    .map((name) =>
      createFinding(FindingKind.unusedService, subjectOf(EntryKind.service, name), 'has no routes'),
    );
}

function findZeroWeights({ plan }: PlanDraft): readonly Finding[] {
  return plan.routes
    .filter((route) => totalWeight(route) > 0)
    .flatMap((route) =>
      route.targets
        .filter(({ weight }) => weight === 0)
        .map(({ service }) => {
          const detail = `service ${JSON.stringify(service)} has weight 0 and gets no requests`;
          return createFinding(FindingKind.zeroWeight, routeSubject(route), detail);
        }),
    );
}

export function findUnmatched(draft: PlanDraft): readonly Finding[] {
  return [
    findHosts,
    findPrefixes,
    findShadowedRoutes,
    findCustomersWithoutKeys,
    findMissingKeys,
    findUnusedServices,
    findZeroWeights,
  ].flatMap((find) => find(draft));
}
