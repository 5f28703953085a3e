/** Makes the recorded traces: evening bursts that move with the sunset, mostly idle models. */
import { createRandom, type Random } from '../../core/random/index.js';
import type { Trace, TraceHead, TraceRequest } from './types.js';

export interface TraceShape {
  readonly name: string;
  readonly seed: number;
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  readonly hours: number;
  /** Bursts of each model over the evening, on average. */
  readonly burstsPerModel: number;
  /** Patient requests of the overnight batch. */
  readonly batch: number;
  /** Speed of one load such that four at once make the stated loads a second. */
  readonly storeMbPerS: number;
}

const HOUR_MS = 3_600_000;
const ENGINE_MB = 80_000;
const SLOTS = 8;
const CUSTOMERS = 5;
const INTERACTIVE_DEADLINE_MS = 30_000;
const STANDARD_DEADLINE_MS = 60_000;
const PATIENT_DEADLINE_MS = 1_800_000;
const MODEL_MB = [8_000, 14_000, 16_000, 26_000, 40_000] as const;
const ADAPTER_MB = 200;
/** Spread of the requests of a burst, ms. */
const BURST_MS = 4_000;
const GREEDY_MS = 40_000;

function createHead(shape: TraceShape, random: Random): TraceHead {
  const base = Array.from({ length: shape.models }, (_, index) => ({
    name: `model-${index}`,
    bytesMb: random.pick(MODEL_MB) ?? MODEL_MB[0],
    base: null,
  }));
  const adapters = Array.from({ length: shape.adapters }, (_, index) => ({
    name: `adapter-${index}`,
    bytesMb: ADAPTER_MB,
    base: random.pick(base)?.name ?? 'model-0',
  }));
  const engines = Array.from({ length: shape.engines }, (_, index) => ({
    id: `engine-${index}`,
    dataCentre: index % shape.dataCentres,
    memoryMb: ENGINE_MB,
    slots: SLOTS,
    disk: base.filter(() => random.real() < 0.25).map(({ name }) => name),
  }));
  const customers = Array.from({ length: CUSTOMERS }, (_, index) => ({
    name: `customer-${index}`,
    ratePerS: index < 2 ? 4_000 : 600,
    burst: index < 2 ? 40_000 : 12_000,
    greedy: index === 0,
  }));
  return {
    name: shape.name,
    dataCentres: shape.dataCentres,
    vmsPerDataCentre: shape.vmsPerDataCentre,
    engines,
    models: [...base, ...adapters],
    customers,
    endMs: shape.hours * HOUR_MS,
    storeMbPerS: shape.storeMbPerS,
  };
}

/** Sunset moves: a model's region wakes earlier or later, and its bursts gather around then. */
function burstTime(shape: TraceShape, random: Random, region: number): number {
  const sunset = shape.hours * HOUR_MS * (0.25 + 0.5 * region);
  const spread = shape.hours * HOUR_MS * 0.2;
  const shift = (random.real() + random.real() - 1) * spread;
  return Math.min(shape.hours * HOUR_MS * 0.97, Math.max(0, sunset + shift));
}

function createRequest(
  random: Random,
  vms: number,
  atMs: number,
  customer: string,
  model: string,
  deadlineMs: number,
): TraceRequest {
  const maxTokens = random.pick([64, 128, 256]) ?? 64;
  return {
    atMs: Math.round(atMs),
    customer,
    model,
    promptTokens: random.int(20, 400),
    maxTokens,
    outTokens: random.int(8, maxTokens),
    vm: random.int(0, vms - 1),
    deadlineMs,
  };
}

function bursts(shape: TraceShape, head: TraceHead, random: Random): readonly TraceRequest[] {
  const vms = shape.dataCentres * shape.vmsPerDataCentre;
  return head.models.flatMap(({ name, base }, index) => {
    const owner = head.customers[random.int(0, CUSTOMERS - 1)]?.name ?? '';
    const region = random.real();
    // A few models are busy, most wake a few times.
    const popularity = base === null ? 3 / (1 + (index % 12)) + 0.2 : 0.4;
    const count = Math.max(1, Math.round(shape.burstsPerModel * popularity));
    return Array.from({ length: count }).flatMap(() => {
      const startMs = burstTime(shape, random, region);
      const size = 2 + Math.floor(random.exponential(5));
      const deadlineMs = random.real() < 0.7 ? INTERACTIVE_DEADLINE_MS : STANDARD_DEADLINE_MS;
      return Array.from({ length: size }, () => {
        const atMs = startMs + random.exponential(BURST_MS);
        return createRequest(random, vms, atMs, owner, name, deadlineMs);
      });
    });
  });
}

/** One large customer sends five times its rate for a while. */
function flood(shape: TraceShape, head: TraceHead, random: Random): readonly TraceRequest[] {
  const greedy = head.customers.find((customer) => customer.greedy);
  if (greedy === undefined) return [];
  const vms = shape.dataCentres * shape.vmsPerDataCentre;
  const startMs = shape.hours * HOUR_MS * 0.5;
  const tokensPerRequest = 360;
  const everyMs = (tokensPerRequest / (greedy.ratePerS * 5)) * 1000;
  const count = Math.floor(GREEDY_MS / everyMs);
  return Array.from({ length: count }, (_, index) => {
    const model = `model-${index % 3}`;
    const atMs = startMs + index * everyMs;
    return createRequest(random, vms, atMs, greedy.name, model, INTERACTIVE_DEADLINE_MS);
  });
}

function batch(shape: TraceShape, head: TraceHead, random: Random): readonly TraceRequest[] {
  const vms = shape.dataCentres * shape.vmsPerDataCentre;
  const customer = head.customers[1]?.name ?? '';
  const startMs = shape.hours * HOUR_MS * 0.7;
  return Array.from({ length: shape.batch }, (_, index) =>
    createRequest(random, vms, startMs + index * 200, customer, 'model-5', PATIENT_DEADLINE_MS),
  );
}

/** Makes the trace of a shape; the same shape gives the same trace. */
export function createTrace(shape: TraceShape): Trace {
  const random = createRandom(shape.seed);
  const head = createHead(shape, random);
  const requests = [
    ...bursts(shape, head, random),
    ...flood(shape, head, random),
    ...batch(shape, head, random),
  ].sort((a, b) => a.atMs - b.atMs);
  return { head, requests };
}

/** The association, Kitami, and a third that no policy was fitted to. */
export const TRACE_SHAPES: readonly TraceShape[] = [
  {
    name: 'association',
    seed: 101,
    dataCentres: 3,
    vmsPerDataCentre: 2,
    engines: 8,
    models: 40,
    adapters: 75,
    hours: 2,
    burstsPerModel: 5,
    batch: 0,
    storeMbPerS: 15_600,
  },
  {
    name: 'kitami',
    seed: 202,
    dataCentres: 4,
    vmsPerDataCentre: 2,
    engines: 13,
    models: 35,
    adapters: 115,
    hours: 2,
    burstsPerModel: 6,
    batch: 400,
    storeMbPerS: 31_200,
  },
  {
    name: 'third',
    seed: 303,
    dataCentres: 2,
    vmsPerDataCentre: 3,
    engines: 6,
    models: 30,
    adapters: 40,
    hours: 2,
    burstsPerModel: 6,
    batch: 150,
    storeMbPerS: 15_600,
  },
];
