/** Requests that wait for models, by urgency: summed by the steward, and as other VMs see the sum. */
import type { RelayMessageOf } from './messages.js';

/** Requests that wait for a model at all entry VMs, by priority. */
export type ModelQueue = NonNullable<RelayMessageOf<'view'>['queues']>[number];

type Waits = RelayMessageOf<'report'>['waits'];

/** Largest number of queues in one `view` message; the longest first. */
const MAX_QUEUES = 12;
/** Minimum time between two messages to a member that name queues, ms. */
const MIN_INTERVAL_MS = 250;
/** Part of the requests of the same priority elsewhere that go first; their arrival is not known. */
const EQUAL_PART = 0.5;

/** What requests of one queue need. */
type Target = Pick<ModelQueue, 'service' | 'model' | 'adapter'>;

function keyOf({ service, model, adapter }: Target): string {
  return `${service} ${model} ${adapter ?? ''}`;
}

/** Contents of the queues that a steward sums, which it compares for each member. */
const contents = new WeakMap<ModelQueue, string>();

/** The number of waiting requests by priority, as JSON. */
function contentOf(queue: ModelQueue): string {
  const known = contents.get(queue) ?? JSON.stringify(queue.byPriority);
  contents.set(queue, known);
  return known;
}

function lengthOf({ byPriority }: ModelQueue): number {
  return Object.values(byPriority).reduce((sum, count) => sum + count, 0);
}

/** Adds counts by key. */
export function addCounts(
  a: Readonly<Record<string, number>>,
  b: Readonly<Record<string, number>>,
): Record<string, number> {
  const added = Object.entries(b).map(([key, count]) => [key, (a[key] ?? 0) + count] as const);
  return { ...a, ...Object.fromEntries(added) };
}

/**
 * Sums the queues of entry VMs. Earlier builds tell no priorities; their requests are left out, as are
 * those that only a part of the servers may run: others do not compete with them for all slots.
 */
export function sumQueues(waits: Waits): readonly ModelQueue[] {
  const queues = new Map<string, ModelQueue>();
  waits.forEach(({ service, model, adapter, version, dataCentres, byPriority = {} }) => {
    if (version !== null || dataCentres !== undefined) return;
    const key = keyOf({ service, model, adapter });
    const sum = addCounts(queues.get(key)?.byPriority ?? {}, byPriority);
    if (Object.keys(sum).length > 0) queues.set(key, { service, model, adapter, byPriority: sum });
  });
  return [...queues.values()];
}

/** Finds the queues that a member has to be told of. */
export class QueuePublisher {
  private readonly sent = new Map<string, ModelQueue>();

  private sentAtMs = -Infinity;

  /** Changed queues; those that have become empty have no priorities. */
  changes(nowMs: number, queues: readonly ModelQueue[]): ModelQueue[] {
    if (nowMs - this.sentAtMs < MIN_INTERVAL_MS) return [];
    const present = new Set(queues.map(keyOf));
    const gone = [...this.sent]
      .filter(([key]) => !present.has(key))
      .map(([, queue]) => ({ ...queue, byPriority: {} }));
    const changed = queues.filter((queue) => {
      const sent = this.sent.get(keyOf(queue));
      return sent === undefined || contentOf(sent) !== contentOf(queue);
    });
    return [...gone, ...changed.sort((a, b) => lengthOf(b) - lengthOf(a)).slice(0, MAX_QUEUES)];
  }

  noteSent(nowMs: number, queues: readonly ModelQueue[]): void {
    if (queues.length === 0) return;
    this.sentAtMs = nowMs;
    queues.forEach((queue) => {
      if (lengthOf(queue) === 0) this.sent.delete(keyOf(queue));
      else this.sent.set(keyOf(queue), queue);
    });
  }
}

/** An entry VM's knowledge of the requests that wait at the other ones. */
export class FleetQueues {
  private readonly queues = new Map<string, ModelQueue>();

  private reported: ReadonlyMap<string, ModelQueue> = new Map();

  /** @param isCurrent Whether a steward tells changes; what an earlier one told may be long over. */
  constructor(private readonly isCurrent: () => boolean) {}

  applyView({ whole, queues = [] }: Pick<RelayMessageOf<'view'>, 'whole' | 'queues'>): void {
    if (whole) this.queues.clear();
    queues.forEach((queue) => {
      if (lengthOf(queue) === 0) this.queues.delete(keyOf(queue));
      else this.queues.set(keyOf(queue), queue);
    });
  }

  /** Records the own queues that the steward's sums contain. */
  noteReported(waits: Waits): void {
    this.reported = new Map(sumQueues(waits).map((queue) => [keyOf(queue), queue]));
  }

  /** Requests for the model at other entry VMs that are more urgent. */
  moreUrgent(target: Target, priority: number): number {
    return this.countElsewhere(target, (other) => other < priority);
  }

  /** Requests at other entry VMs that are expected to be served before one of this priority. */
  ahead(target: Target, priority: number): number {
    const equal = this.countElsewhere(target, (other) => other === priority);
    return this.moreUrgent(target, priority) + equal * EQUAL_PART;
  }

  private countElsewhere(target: Target, isCounted: (priority: number) => boolean): number {
    if (!this.isCurrent()) return 0;
    const key = keyOf(target);
    const own = this.reported.get(key)?.byPriority ?? {};
    return Object.entries(this.queues.get(key)?.byPriority ?? {})
      .filter(([priority]) => isCounted(Number(priority)))
      .reduce((sum, [priority, count]) => sum + Math.max(0, count - (own[priority] ?? 0)), 0);
  }
}
