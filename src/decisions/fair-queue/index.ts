/**
 * Queues requests and divides service fairly between customers.
 *
 * Start-time fair queueing by tokens: the customer that has received the least service relative to
 * its weight goes first. Within a customer the earliest deadline goes first.
 */

export interface QueuedRequest {
  readonly id: string;
  readonly customer: string;
  /** Name of the model or adapter that it needs. */
  readonly target: string;
  /** Name of its lane, usually the target's. Requests of one lane can run on the same engines. */
  readonly lane: string;
  /** Time at which it was queued, ms. */
  readonly arrivedAtMs: number;
  /** Expected cost of serving it, tokens. */
  readonly cost: number;
  readonly weight: number;
  readonly deadlineAtMs: number;
}

/** Summary of the requests that are queued for one target. */
export interface TargetDemand {
  readonly target: string;
  readonly waiting: number;
  readonly cost: number;
  readonly earliestDeadlineAtMs: number;
  readonly oldestAtMs: number;
  readonly customers: readonly string[];
}

/** A queue that decides the order in which requests are served. */
export interface RequestQueue {
  readonly size: number;
  push(req: QueuedRequest): void;
  remove(id: string): QueuedRequest | null;
  /** Removes and returns the next request from the lanes that can run one now. */
  take(canRun: (lane: string) => boolean): QueuedRequest | null;
  /** Adjusts a customer's account by the difference between actual and expected cost, tokens. */
  correct(customer: string, weight: number, extraCost: number): void;
  /** Removes and returns all requests whose deadline has passed. */
  takeExpired(nowMs: number): readonly QueuedRequest[];
  demands(): readonly TargetDemand[];
}

/** Sums queued requests by target. */
export function summarizeDemand(reqs: readonly QueuedRequest[]): readonly TargetDemand[] {
  const groups = new Map<string, QueuedRequest[]>();
  reqs.forEach((req) => {
    const group = groups.get(req.target);
    if (group === undefined) groups.set(req.target, [req]);
    else group.push(req);
  });
  return [...groups].map(([target, group]) => ({
    target,
    waiting: group.length,
    cost: group.reduce((sum, req) => sum + req.cost, 0),
    earliestDeadlineAtMs: Math.min(...group.map((req) => req.deadlineAtMs)),
    oldestAtMs: Math.min(...group.map((req) => req.arrivedAtMs)),
    customers: [...new Set(group.map((req) => req.customer))],
  }));
}

function insertByDeadline(lane: QueuedRequest[], req: QueuedRequest): void {
  const after = lane.findIndex((other) => other.deadlineAtMs > req.deadlineAtMs);
  lane.splice(after < 0 ? lane.length : after, 0, req);
}

/** Queued requests of one customer by lane, and the customer's account for fair queueing. */
class CustomerLanes {
  private readonly lanes = new Map<string, QueuedRequest[]>();

  /** Start tag: the virtual time at which the customer's next request starts. */
  startTag = 0;

  push(req: QueuedRequest): void {
    const lane = this.lanes.get(req.lane) ?? [];
    insertByDeadline(lane, req);
    this.lanes.set(req.lane, lane);
  }

  head(canRun: (lane: string) => boolean): QueuedRequest | null {
    return [...this.lanes]
      .filter(([lane]) => canRun(lane))
      .map(([, waiting]) => waiting[0])
      .reduce<QueuedRequest | null>((best, req) => {
        if (req === undefined) return best;
        return best === null || req.deadlineAtMs < best.deadlineAtMs ? req : best;
      }, null);
  }

  remove(req: QueuedRequest): void {
    const lane = this.lanes.get(req.lane) ?? [];
    const rest = lane.filter((other) => other.id !== req.id);
    if (rest.length === 0) this.lanes.delete(req.lane);
    else this.lanes.set(req.lane, rest);
  }

  isEmpty(): boolean {
    return this.lanes.size === 0;
  }
}

export class FairQueue implements RequestQueue {
  private readonly customers = new Map<string, CustomerLanes>();

  private readonly byId = new Map<string, QueuedRequest>();

  private virtualTime = 0;

  get size(): number {
    return this.byId.size;
  }

  push(req: QueuedRequest): void {
    const lanes = this.lanesOf(req.customer);
    if (lanes.isEmpty()) lanes.startTag = Math.max(lanes.startTag, this.virtualTime);
    lanes.push(req);
    this.byId.set(req.id, req);
  }

  remove(id: string): QueuedRequest | null {
    const req = this.byId.get(id) ?? null;
    if (req !== null) this.drop(req);
    return req;
  }

  take(canRun: (lane: string) => boolean): QueuedRequest | null {
    const next = [...this.customers.values()]
      .filter((lanes) => !lanes.isEmpty())
      .sort((a, b) => a.startTag - b.startTag)
      .map((lanes) => ({ lanes, req: lanes.head(canRun) }))
      .find(({ req }) => req !== null);
    if (next === undefined || next.req === null) return null;
    const { lanes, req } = next;
    this.virtualTime = Math.max(this.virtualTime, lanes.startTag);
    lanes.startTag += req.cost / req.weight;
    this.drop(req);
    return req;
  }

  correct(customer: string, weight: number, extraCost: number): void {
    const lanes = this.lanesOf(customer);
    lanes.startTag = Math.max(
      lanes.isEmpty() ? 0 : this.virtualTime,
      lanes.startTag + extraCost / weight,
    );
  }

  takeExpired(nowMs: number): readonly QueuedRequest[] {
    const late = [...this.byId.values()].filter((req) => req.deadlineAtMs <= nowMs);
    late.forEach((req) => this.drop(req));
    return late;
  }

  demands(): readonly TargetDemand[] {
    return summarizeDemand([...this.byId.values()]);
  }

  private lanesOf(customer: string): CustomerLanes {
    const lanes = this.customers.get(customer) ?? new CustomerLanes();
    this.customers.set(customer, lanes);
    return lanes;
  }

  private drop(req: QueuedRequest): void {
    this.customers.get(req.customer)?.remove(req);
    this.byId.delete(req.id);
  }
}
