/** Looks up routes and keys in a fleet plan. */
import { createHash } from 'node:crypto';
import type { FleetPlan, Route, RouteTarget } from './types.js';

export * from './types.js';

/** Returns the host name of a Host header, without the port and in lower case. */
export function hostName(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

/** Returns the route on the host with the longest matching path prefix; undefined for no match. */
export function findRoute(plan: FleetPlan, host: string, url: string): Route | undefined {
  const path = url.split('?', 1)[0] ?? url;
  const name = hostName(host);
  return plan.routes
    .filter((route) => route.host === name && path.startsWith(route.pathPrefix))
    .reduce<Route | undefined>(
      (best, route) =>
        best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
      undefined,
    );
}

/** Picks a service by weight; `draw` is a uniform random number in [0, 1). */
export function pickTarget(targets: readonly RouteTarget[], draw: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  return (
    targets.find(({ weight }) => {
      left -= weight;
      return left < 0;
    }) ?? targets.at(-1)
  )?.service;
}

/** Returns the SHA-256 of a key in hexadecimal. Keys themselves are not stored. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
