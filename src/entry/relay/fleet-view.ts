/** Which backend servers this entry VM can send a request to now. */
import type { Clock } from '../../core/clock/index.js';
import type { Candidate } from '../../decisions/engine-choice/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { ServerHealth } from '../../decisions/server-health/index.js';
import type { FollowerTask } from './follower.js';
import type { EngineView, LoadView, RelayMessageOf } from './messages.js';

/** What a server does not hold is not asked of it again for this long, doubled each time, ms. */
const MISSING_MS = 80;
const LONGEST_MISSING_MS = 1_280;
/** After this long the next refusal is a new one, ms. */
const MISSING_FORGOTTEN_MS = 3_000;

/** What a request needs of a server. */
export interface Need {
  readonly service: string;
  readonly model: string | null;
  readonly adapter: string | null;
}

/** A request that runs on a server. */
export interface Run extends Need {
  readonly server: BackendServer;
}

interface TimedLoad extends LoadView {
  readonly readyAtMs: number;
}

function runKey({ server, model, adapter }: Run): string {
  return JSON.stringify([server.id, model, adapter]);
}

export class FleetView {
  readonly health = new ServerHealth();

  private readonly views = new Map<string, EngineView>();

  /** Requests that run on each engine, over all entry VMs. */
  private readonly runningOverall = new Map<string, number>();

  private loads: readonly TimedLoad[] = [];

  /** Entry VMs that the steward hears. */
  private membersHeard = 1;

  private readonly runs = new Map<string, { run: Run; count: number }>();

  private readonly runningHere = new Map<string, number>();

  /** What ran here when the steward was told last. */
  private runningTold: ReadonlyMap<string, number> = new Map();

  private readonly missing = new Map<string, { untilMs: number; pauseMs: number }>();

  constructor(
    private readonly follower: FollowerTask,
    private readonly clock: Clock,
    private readonly stewardIsHeard: () => boolean,
  ) {}

  get members(): number {
    return this.membersHeard;
  }

  takeView(view: RelayMessageOf<'view'>): void {
    const nowMs = this.clock.steadyMs();
    if (view.whole) {
      this.views.clear();
      this.runningOverall.clear();
    }
    Object.entries(view.running).forEach(([id, count]) => this.runningOverall.set(id, count));
    view.engines.forEach((engine) => this.views.set(engine.id, engine));
    this.membersHeard = view.members;
    this.loads = view.loads.map((load) => ({ ...load, readyAtMs: nowMs + load.readyInMs }));
  }

  /** Servers that hold what the request needs. */
  candidates(need: Need): readonly Candidate[] {
    const nowMs = this.clock.steadyMs();
    const heard = this.stewardIsHeard();
    const fit = [...this.follower.backends.values()].filter(
      (server) =>
        server.service === need.service &&
        !server.leaving &&
        this.holds(nowMs, server, need, heard),
    );
    const peers = fit.map(({ id }) => id);
    return this.health.sound(nowMs, fit).map((server) => ({
      id: server.id,
      dataCentre: server.dataCentre,
      slots: server.slots,
      running: this.runningAt(server.id, heard),
      slowness: this.health.slowness(nowMs, server.id, peers),
    }));
  }

  /** Whether a server that stays holds the model that the request needs. */
  isHeld({ service, model }: Need): boolean {
    const nowMs = this.clock.steadyMs();
    const heard = this.stewardIsHeard();
    const need = { service, model, adapter: null };
    return [...this.follower.backends.values()].some(
      (server) =>
        server.service === service && !server.leaving && this.holds(nowMs, server, need, heard),
    );
  }

  /** End of the first load of what the request needs, ms; null where none is known of. */
  readyAtMs(need: Need): number | null {
    const ends = this.loads
      .filter(({ model, adapter }) => model === need.model && adapter === null)
      .map(({ readyAtMs }) => readyAtMs);
    return ends.length === 0 || !this.stewardIsHeard() ? null : Math.min(...ends);
  }

  /** The server said that it does not hold what was asked of it. */
  noteMissing(run: Run): void {
    const nowMs = this.clock.steadyMs();
    const key = runKey(run);
    const known = this.missing.get(key);
    // Requests that were on their way together count once.
    if (known !== undefined && nowMs < known.untilMs) return;
    const isNew = known === undefined || nowMs - known.untilMs > MISSING_FORGOTTEN_MS;
    const pauseMs = isNew ? MISSING_MS : Math.min(LONGEST_MISSING_MS, known.pauseMs * 2);
    this.missing.set(key, { untilMs: nowMs + pauseMs, pauseMs });
  }

  started(run: Run): void {
    const key = runKey(run);
    const entry = this.runs.get(key) ?? { run, count: 0 };
    entry.count += 1;
    this.runs.set(key, entry);
    const { id } = run.server;
    this.runningHere.set(id, (this.runningHere.get(id) ?? 0) + 1);
  }

  ended(run: Run): void {
    const key = runKey(run);
    const entry = this.runs.get(key);
    if (entry === undefined) return;
    entry.count -= 1;
    if (entry.count === 0) this.runs.delete(key);
    const { id } = run.server;
    this.runningHere.set(id, Math.max(0, (this.runningHere.get(id) ?? 0) - 1));
  }

  /** What runs from here, for the steward. */
  running(): RelayMessageOf<'report'>['running'] {
    return [...this.runs.values()].map(({ run, count }) => ({
      server: run.server.id,
      model: run.model,
      adapter: run.adapter,
      running: count,
    }));
  }

  noteTold(): void {
    this.runningTold = new Map(this.runningHere);
  }

  private holds(nowMs: number, server: BackendServer, need: Need, heard: boolean): boolean {
    if (need.model === null) return true;
    if (this.isMissing(nowMs, server, need)) return false;
    const view = this.views.get(server.id);
    const isTold = heard || this.follower.isAdopted(server.id);
    const current = isTold && view !== undefined && view.bornMs >= server.bornMs;
    const models = current ? view.models : server.models;
    const held = models.find(({ name }) => name === need.model);
    if (held === undefined) return false;
    return need.adapter === null || held.adapters.includes(need.adapter);
  }

  private isMissing(nowMs: number, server: BackendServer, need: Need): boolean {
    return (this.missing.get(runKey({ ...need, server }))?.untilMs ?? 0) > nowMs;
  }

  private runningAt(id: string, heard: boolean): number {
    const here = this.runningHere.get(id) ?? 0;
    if (!heard) return here;
    const elsewhere = (this.runningOverall.get(id) ?? 0) - (this.runningTold.get(id) ?? 0);
    return here + Math.max(0, elsewhere);
  }
}
