/** Learnt paces of services and of their servers, and how long their runs take. */
import { PaceModel } from './pace-model.js';
import type { FirstTokenSample, Pace } from './types.js';

/** Time constant with which a server's samples lose their weight, ms. */
const SAMPLE_AGE_MS = 60_000;
/** Samples of usual speed that are added to those of a server, against chance. */
const PRIOR_SAMPLES = 3;
/** Weight of its samples from which a server is compared with its peers. */
const MIN_WEIGHT = 3;
/** A server within this part of its peers' median counts as equally fast. */
const MAX_EQUAL_DEVIATION = 0.12;
/** Bounds of one sample's ratio and of a server's. */
const MAX_RATIO = 4;
/** Weight of the newest run in the average duration of a service's runs. */
const RUN_WEIGHT = 0.05;
/** Runs after which their average duration is used. */
const MIN_RUNS = 10;

interface ServerRecord {
  /** Sum of measured times divided by their estimates, weighted by age. */
  ratios: number;
  weight: number;
  atMs: number;
}

interface RunAverage {
  meanMs: number;
  count: number;
}

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
}

function decayed(nowMs: number, { ratios, weight, atMs }: ServerRecord): ServerRecord {
  const factor = Math.exp((atMs - nowMs) / SAMPLE_AGE_MS);
  return { ratios: ratios * factor, weight: weight * factor, atMs: nowMs };
}

export class PaceTable {
  private readonly models = new Map<string, PaceModel>();

  private readonly servers = new Map<string, ServerRecord>();

  private readonly runs = new Map<string, RunAverage>();

  /** Pace of a service's servers of usual speed; null while it is unknown. */
  pace(service: string): Pace | null {
    return this.models.get(service)?.pace ?? null;
  }

  /** Average duration of the runs of a service, ms; null while it is unknown. */
  runMs(service: string): number | null {
    const average = this.runs.get(service);
    return average === undefined || average.count < MIN_RUNS ? null : average.meanMs;
  }

  /**
   * Durations at servers as a multiple of their median. Servers of which too little is known, and those
   * near the median, have 1.
   */
  speedRatios(nowMs: number, ids: readonly string[]): ReadonlyMap<string, number> {
    const known = ids.flatMap((id) => {
      const record = this.servers.get(id);
      if (record === undefined) return [];
      const { ratios, weight } = decayed(nowMs, record);
      if (weight < MIN_WEIGHT) return [];
      return [[id, (ratios + PRIOR_SAMPLES) / (weight + PRIOR_SAMPLES)] as const];
    });
    const sorted = known.map(([, ratio]) => ratio).sort((a, b) => a - b);
    const median = sorted[Math.floor((sorted.length - 1) / 2)];
    if (median === undefined) return new Map();
    const relative = known.map(([id, ratio]) => [id, ratio / median] as const);
    return new Map(relative.filter(([, ratio]) => Math.abs(ratio - 1) > MAX_EQUAL_DEVIATION));
  }

  /** Adds a measured time to the first token. */
  noteFirstToken(nowMs: number, service: string, sample: FirstTokenSample): void {
    const { server, utilisation, newTokens, tookMs } = sample;
    const model = this.models.get(service) ?? new PaceModel();
    this.models.set(service, model);
    const before = decayed(
      nowMs,
      this.servers.get(server) ?? { ratios: 0, weight: 0, atMs: nowMs },
    );
    const usual = (before.ratios + PRIOR_SAMPLES) / (before.weight + PRIOR_SAMPLES);
    const ratio = clampRatio(tookMs / model.estimateMs(utilisation, newTokens));
    if (model.pace !== null) {
      this.servers.set(server, {
        ratios: before.ratios + ratio,
        weight: before.weight + 1,
        atMs: nowMs,
      });
    }
    model.note(utilisation, newTokens, tookMs / usual);
  }

  /** Adds the duration of a run that has ended as it should. */
  noteRun(service: string, tookMs: number): void {
    const { meanMs, count } = this.runs.get(service) ?? { meanMs: tookMs, count: 0 };
    const weight = Math.max(RUN_WEIGHT, 1 / (count + 1));
    this.runs.set(service, { meanMs: meanMs + (tookMs - meanMs) * weight, count: count + 1 });
  }

  /** Removes what is known of servers that no longer exist. */
  retain(servers: Pick<ReadonlyMap<string, unknown>, 'has'>): void {
    [...this.servers.keys()]
      .filter((id) => !servers.has(id))
      .forEach((id) => this.servers.delete(id));
  }
}
