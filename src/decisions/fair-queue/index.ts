/**
 * Waiting requests, shared fairly between customers.
 *
 * Start-time fair queueing by tokens: the customer that was served least for its weight goes
 * first. Within a customer the earliest deadline goes first.
 */

/** A waiting request. */
export interface QueuedRequest {
  readonly id: string;
  readonly customer: string;
  /** Name of the target that has to run it. */
  readonly target: string;
  /** Requests of one lane can run at the same places; most often the target's name. */
  readonly lane: string;
  /** When it began to wait, ms. */
  readonly arrivedAtMs: number;
  /** Tokens that serving it is expected to take. */
  readonly cost: number;
  readonly weight: number;
  readonly deadlineAtMs: number;
}

/** What waits for one target. */
export interface TargetDemand {
  readonly target: string;
  readonly waiting: number;
  readonly cost: number;
  readonly earliestDeadlineAtMs: number;
  readonly oldestAtMs: number;
  readonly customers: readonly string[];
}

/** Order in which waiting requests run. */
export interface RequestQueue {
  readonly size: number;
  push(req: QueuedRequest): void;
  remove(id: string): QueuedRequest | null;
  /** Takes the next request among the lanes that can run one now. */
  take(canRun: (lane: string) => boolean): QueuedRequest | null;
  /** Corrects a customer's account once the true cost is known. */
  correct(customer: string, weight: number, extraCost: number): void;
  /** Takes all requests whose deadline has passed. */
  takeLate(nowMs: number): readonly QueuedRequest[];
  demands(): readonly TargetDemand[];
}

/** Adds waiting requests up by target. */
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

/** One customer's waiting requests, in lanes, and its fair share so far. */
class CustomerLanes {
  private readonly lanes = new Map<string, QueuedRequest[]>();

  /** Virtual time at which the customer's next request starts. */
  tag = 0;

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
    if (lanes.isEmpty()) lanes.tag = Math.max(lanes.tag, this.virtualTime);
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
      .sort((a, b) => a.tag - b.tag)
      .map((lanes) => ({ lanes, req: lanes.head(canRun) }))
      .find(({ req }) => req !== null);
    if (next === undefined || next.req === null) return null;
    const { lanes, req } = next;
    this.virtualTime = Math.max(this.virtualTime, lanes.tag);
    lanes.tag += req.cost / req.weight;
    this.drop(req);
    return req;
  }

  correct(customer: string, weight: number, extraCost: number): void {
    const lanes = this.lanesOf(customer);
    lanes.tag = Math.max(lanes.isEmpty() ? 0 : this.virtualTime, lanes.tag + extraCost / weight);
  }

  takeLate(nowMs: number): readonly QueuedRequest[] {
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
