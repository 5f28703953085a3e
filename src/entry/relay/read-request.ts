/** A request that was read whole, with the plan's word on it. */
import type * as http from 'node:http';
import type { Customer, FleetPlan, Route } from '../../decisions/fleet-plan/index.js';
import type { RequestFacts } from './types.js';

/** What is known once a request was read and found proper. */
export interface ReadRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly facts: RequestFacts;
  readonly plan: FleetPlan;
  readonly route: Route;
  readonly service: string;
  readonly customer: Customer | null;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}
