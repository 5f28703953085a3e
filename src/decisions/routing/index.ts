/**
 * Chooses the engine of a request: replicas in this data centre first, those with the same prompt
 * prefix kept together while the load allows, otherwise the less loaded of two at random.
 */
import { createHash } from 'node:crypto';
import type { Random } from '../../core/random/index.js';
import { OutlierDetector } from './outliers.js';
import {
  type EngineRoute,
  type RouteDecision,
  RouteOutcome,
  type RouteQuery,
  type Router,
} from './types.js';

export * from './types.js';

/** How far above the mean an engine's load may be before its prefixes go elsewhere. */
const AFFINITY_LOAD_FACTOR = 1.25;

interface EngineRecord {
  route: EngineRoute;
  /** Requests of this entry VM that run there. */
  own: number;
  /** Of the reported load, what other entry VMs brought. */
  others: number;
}

function rendezvousWeight(prefixKey: string, engineId: string): string {
  return createHash('sha1').update(prefixKey).update('\0').update(engineId).digest('hex');
}

function loadOf({ route, own, others }: EngineRecord): number {
  return (own + others) / route.slots;
}

function hasRoom(record: EngineRecord): boolean {
  return loadOf(record) < 1;
}

export class LeastLoadedRouter implements Router {
  private readonly engines = new Map<string, EngineRecord>();

  private readonly outliers = new OutlierDetector();

  constructor(
    private readonly dataCentre: string,
    private readonly random: Random,
  ) {}

  update(route: EngineRoute): void {
    const own = this.engines.get(route.engineId)?.own ?? 0;
    this.engines.set(route.engineId, { route, own, others: Math.max(0, route.load - own) });
  }

  retain(engineIds: ReadonlySet<string>): void {
    [...this.engines.keys()]
      .filter((engineId) => !engineIds.has(engineId))
      .forEach((engineId) => this.engines.delete(engineId));
  }

  route(nowMs: number, query: RouteQuery): RouteDecision {
    const able = [...this.engines.values()].filter(
      ({ route }) => !route.leaving && route.targets.includes(query.target),
    );
    if (able.length === 0) return { type: RouteOutcome.cold };
    const allowed = able.filter(({ route }) => !query.exclude.includes(route.engineId));
    const preferred = allowed.filter(({ route }) => !query.avoid.includes(route.engineId));
    const holders = preferred.length > 0 ? preferred : allowed;
    const admitted = this.outliers.admit(
      nowMs,
      holders.map((record) => record.route),
    );
    const usable = holders.filter((record) => admitted.includes(record.route));
    const near = usable.filter(({ route }) => route.dataCentre === this.dataCentre);
    const far = usable.filter(({ route }) => route.dataCentre !== this.dataCentre);
    const chosen = this.choose(near, query.prefixKey) ?? this.choose(far, query.prefixKey);
    return chosen === null
      ? { type: RouteOutcome.busy }
      : { type: RouteOutcome.chosen, engine: chosen.route };
  }

  started(engineId: string): void {
    const record = this.engines.get(engineId);
    if (record !== undefined) record.own += 1;
  }

  finished(nowMs: number, engineId: string, healthy: boolean): void {
    const record = this.engines.get(engineId);
    if (record !== undefined) record.own = Math.max(0, record.own - 1);
    this.outliers.note(nowMs, engineId, healthy);
  }

  private choose(records: readonly EngineRecord[], prefixKey: string | null): EngineRecord | null {
    const open = records.filter(hasRoom);
    const [first] = open;
    if (first === undefined || open.length === 1) return first ?? null;
    return prefixKey === null ? this.lessLoadedOfTwo(open) : this.byPrefix(open, prefixKey);
  }

  private lessLoadedOfTwo(open: readonly EngineRecord[]): EngineRecord | null {
    const a = this.random.pick(open) ?? null;
    const b = this.random.pick(open) ?? null;
    if (a === null || b === null) return a ?? b;
    return loadOf(a) <= loadOf(b) ? a : b;
  }

  private byPrefix(open: readonly EngineRecord[], prefixKey: string): EngineRecord | null {
    const mean = open.reduce((sum, record) => sum + loadOf(record), 0) / open.length;
    const ranked = open
      .map((record) => ({ record, weight: rendezvousWeight(prefixKey, record.route.engineId) }))
      .sort((a, b) => (a.weight < b.weight ? 1 : -1))
      .map(({ record }) => record);
    const limit = mean * AFFINITY_LOAD_FACTOR + Number.EPSILON;
    return ranked.find((record) => loadOf(record) <= limit) ?? this.lessLoadedOfTwo(open);
  }
}
