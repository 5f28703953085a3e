/**
 * Chooses the engine for a request. Engines in the local data centre are preferred. Requests with
 * the same prompt prefix go to the same engine by rendezvous hashing while its load allows; other
 * requests go to the less loaded of two engines picked at random.
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

/** Multiple of the mean load above which an engine gets no requests by prefix affinity. */
const AFFINITY_LOAD_FACTOR = 1.25;

interface EngineRecord {
  route: EngineRoute;
  /** Running requests from this entry VM. */
  ownRequests: number;
  /** Requests from other entry VMs that the engine's reported load includes. */
  otherRequests: number;
}

function rendezvousWeight(prefixKey: string, engineId: string): string {
  return createHash('sha1').update(prefixKey).update('\0').update(engineId).digest('hex');
}

function loadOf({ route, ownRequests, otherRequests }: EngineRecord): number {
  return (ownRequests + otherRequests) / route.slots;
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
    const ownRequests = this.engines.get(route.engineId)?.ownRequests ?? 0;
    this.engines.set(route.engineId, {
      route,
      ownRequests,
      otherRequests: Math.max(0, route.load - ownRequests),
    });
  }

  retain(engineIds: ReadonlySet<string>): void {
    [...this.engines.keys()]
      .filter((engineId) => !engineIds.has(engineId))
      .forEach((engineId) => this.engines.delete(engineId));
  }

  route(nowMs: number, query: RouteQuery): RouteDecision {
    const loaded = [...this.engines.values()].filter(
      ({ route }) => !route.leaving && route.targets.includes(query.target),
    );
    if (loaded.length === 0) return { type: RouteOutcome.cold };
    const allowed = loaded.filter(({ route }) => !query.exclude.includes(route.engineId));
    const preferred = allowed.filter(({ route }) => !query.avoid.includes(route.engineId));
    const candidates = preferred.length > 0 ? preferred : allowed;
    const eligible = this.outliers.eligible(
      nowMs,
      candidates.map((record) => record.route),
    );
    const usable = candidates.filter((record) => eligible.includes(record.route));
    const local = usable.filter(({ route }) => route.dataCentre === this.dataCentre);
    const remote = usable.filter(({ route }) => route.dataCentre !== this.dataCentre);
    const chosen = this.choose(local, query.prefixKey) ?? this.choose(remote, query.prefixKey);
    return chosen === null
      ? { type: RouteOutcome.busy }
      : { type: RouteOutcome.chosen, engine: chosen.route };
  }

  started(engineId: string): void {
    const record = this.engines.get(engineId);
    if (record !== undefined) record.ownRequests += 1;
  }

  finished(nowMs: number, engineId: string, healthy: boolean): void {
    const record = this.engines.get(engineId);
    if (record !== undefined) record.ownRequests = Math.max(0, record.ownRequests - 1);
    this.outliers.note(nowMs, engineId, healthy);
  }

  private choose(records: readonly EngineRecord[], prefixKey: string | null): EngineRecord | null {
    const withRoom = records.filter(hasRoom);
    const [first] = withRoom;
    if (first === undefined || withRoom.length === 1) return first ?? null;
    return prefixKey === null ? this.lessLoadedOfTwo(withRoom) : this.byPrefix(withRoom, prefixKey);
  }

  private lessLoadedOfTwo(withRoom: readonly EngineRecord[]): EngineRecord | null {
    const a = this.random.pick(withRoom) ?? null;
    const b = this.random.pick(withRoom) ?? null;
    if (a === null || b === null) return a ?? b;
    return loadOf(a) <= loadOf(b) ? a : b;
  }

  private byPrefix(withRoom: readonly EngineRecord[], prefixKey: string): EngineRecord | null {
    const mean = withRoom.reduce((sum, record) => sum + loadOf(record), 0) / withRoom.length;
    const ranked = withRoom
      .map((record) => ({ record, weight: rendezvousWeight(prefixKey, record.route.engineId) }))
      .sort((a, b) => (a.weight < b.weight ? 1 : -1))
      .map(({ record }) => record);
    const limit = mean * AFFINITY_LOAD_FACTOR + Number.EPSILON;
    return ranked.find((record) => loadOf(record) <= limit) ?? this.lessLoadedOfTwo(withRoom);
  }
}
