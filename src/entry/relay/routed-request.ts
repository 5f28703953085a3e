/** A request that was received completely and matched to a route of the plan. */
import type * as http from 'node:http';
import type { Customer, FleetPlan, Route } from '../../decisions/fleet-plan/index.js';
import type { RequestMetadata } from './types.js';

/** Time from its arrival in which the response to a request is due, ms. */
export function timeLimitMs({ timeoutMs }: Route, { deadlineMs }: RequestMetadata): number {
  return Math.min(timeoutMs, deadlineMs ?? Infinity);
}

/** A checked request with its body, route, customer and target service. */
export interface RoutedRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly metadata: RequestMetadata;
  readonly plan: FleetPlan;
  readonly route: Route;
  /** Service chosen among the route's targets. */
  readonly service: string;
  /** Null if the route is public or the plan requires no keys. */
  readonly customer: Customer | null;
  /** Data centres whose servers it may reach; null or undefined for all. */
  readonly dataCentres?: readonly string[] | null;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}
