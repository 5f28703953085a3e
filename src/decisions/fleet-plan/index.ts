/** Looks routes and keys up in a plan. */
import { createHash } from 'node:crypto';
import type { FleetPlan, Route, RouteTarget } from './types.js';

export * from './types.js';

/** A host name without its port, in lower case. */
export function hostName(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

/** The route of the longest prefix on the request's host; undefined where none matches. */
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

/** The service for a request; `draw` is uniform from 0 up to, but without, 1. */
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

/** SHA-256 of a key, in hexadecimal. Keys themselves are not kept. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
