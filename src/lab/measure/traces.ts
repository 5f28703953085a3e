/** Generates the traces: mostly idle models with request bursts around the evening of a region. */
import { createRandom, type Random } from '../../core/random/index.js';
import type { Trace, TraceHeader, TraceRequest } from './types.js';

/** Parameters of a generated trace. */
export interface TraceParams {
  readonly name: string;
  readonly seed: number;
  readonly dataCentres: number;
  readonly vmsPerDataCentre: number;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  readonly hours: number;
  /** Average number of bursts per model, before weighting by popularity. */
  readonly burstsPerModel: number;
  /** Number of requests of the overnight batch, which have a long deadline. */
  readonly batchRequests: number;
  /**
   * Transfer rate of one load, MB/s: such that four concurrent loads give the loads per second that
   * the requirements state.
   */
  readonly storeMbPerS: number;
}

const HOUR_MS = 3_600_000;
const ENGINE_MEMORY_MB = 80_000;
const ENGINE_SLOTS = 8;
const CUSTOMER_COUNT = 5;
const INTERACTIVE_DEADLINE_MS = 30_000;
const STANDARD_DEADLINE_MS = 60_000;
const PATIENT_DEADLINE_MS = 1_800_000;
const MODEL_SIZES_MB = [8_000, 14_000, 16_000, 26_000, 40_000] as const;
const ADAPTER_SIZE_MB = 200;
/** Mean time from the start of a burst to one of its requests. */
const MEAN_BURST_DELAY_MS = 4_000;
/** Duration of the period in which the greedy customer exceeds its rate. */
const OVERLOAD_DURATION_MS = 40_000;

function createHeader(params: TraceParams, random: Random): TraceHeader {
  const base = Array.from({ length: params.models }, (_, index) => ({
    name: `model-${index}`,
    bytesMb: random.pick(MODEL_SIZES_MB) ?? MODEL_SIZES_MB[0],
    base: null,
  }));
  const adapters = Array.from({ length: params.adapters }, (_, index) => ({
    name: `adapter-${index}`,
    bytesMb: ADAPTER_SIZE_MB,
    base: random.pick(base)?.name ?? 'model-0',
  }));
  const engines = Array.from({ length: params.engines }, (_, index) => ({
    id: `engine-${index}`,
    dataCentre: index % params.dataCentres,
    memoryMb: ENGINE_MEMORY_MB,
    slots: ENGINE_SLOTS,
    disk: base.filter(() => random.real() < 0.25).map(({ name }) => name),
  }));
  const customers = Array.from({ length: CUSTOMER_COUNT }, (_, index) => ({
    name: `customer-${index}`,
    ratePerS: index < 2 ? 4_000 : 600,
    burst: index < 2 ? 40_000 : 12_000,
    greedy: index === 0,
  }));
  return {
    name: params.name,
    dataCentres: params.dataCentres,
    vmsPerDataCentre: params.vmsPerDataCentre,
    engines,
    models: [...base, ...adapters],
    customers,
    endMs: params.hours * HOUR_MS,
    storeMbPerS: params.storeMbPerS,
  };
}

/**
 * Start of a burst, distributed around the evening of the model's region; `region` (0 to 1) moves
 * the evening from 25 % to 75 % of the trace.
 */
function drawBurstStart(params: TraceParams, random: Random, region: number): number {
  const eveningMs = params.hours * HOUR_MS * (0.25 + 0.5 * region);
  const spreadMs = params.hours * HOUR_MS * 0.2;
  const shiftMs = (random.real() + random.real() - 1) * spreadMs;
  return Math.min(params.hours * HOUR_MS * 0.97, Math.max(0, eveningMs + shiftMs));
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

function createBurstRequests(
  params: TraceParams,
  header: TraceHeader,
  random: Random,
): readonly TraceRequest[] {
  const vms = params.dataCentres * params.vmsPerDataCentre;
  return header.models.flatMap(({ name, base }, index) => {
    const owner = header.customers[random.int(0, CUSTOMER_COUNT - 1)]?.name ?? '';
    const region = random.real();
    // A few models have many bursts, most have a few.
    const popularity = base === null ? 3 / (1 + (index % 12)) + 0.2 : 0.4;
    const count = Math.max(1, Math.round(params.burstsPerModel * popularity));
    return Array.from({ length: count }).flatMap(() => {
      const startMs = drawBurstStart(params, random, region);
      const size = 2 + Math.floor(random.exponential(5));
      const deadlineMs = random.real() < 0.7 ? INTERACTIVE_DEADLINE_MS : STANDARD_DEADLINE_MS;
      return Array.from({ length: size }, () => {
        const atMs = startMs + random.exponential(MEAN_BURST_DELAY_MS);
        return createRequest(random, vms, atMs, owner, name, deadlineMs);
      });
    });
  });
}

/** Requests of the greedy customer at five times its rate. */
function createOverloadRequests(
  params: TraceParams,
  header: TraceHeader,
  random: Random,
): readonly TraceRequest[] {
  const greedy = header.customers.find((customer) => customer.greedy);
  if (greedy === undefined) return [];
  const vms = params.dataCentres * params.vmsPerDataCentre;
  const startMs = params.hours * HOUR_MS * 0.5;
  const tokensPerRequest = 360;
  const intervalMs = (tokensPerRequest / (greedy.ratePerS * 5)) * 1000;
  const count = Math.floor(OVERLOAD_DURATION_MS / intervalMs);
  return Array.from({ length: count }, (_, index) => {
    const model = `model-${index % 3}`;
    const atMs = startMs + index * intervalMs;
    return createRequest(random, vms, atMs, greedy.name, model, INTERACTIVE_DEADLINE_MS);
  });
}

/** Requests of the overnight batch, all for one model. */
function createBatchRequests(
  params: TraceParams,
  header: TraceHeader,
  random: Random,
): readonly TraceRequest[] {
  const vms = params.dataCentres * params.vmsPerDataCentre;
  const customer = header.customers[1]?.name ?? '';
  const startMs = params.hours * HOUR_MS * 0.7;
  return Array.from({ length: params.batchRequests }, (_, index) =>
    createRequest(random, vms, startMs + index * 200, customer, 'model-5', PATIENT_DEADLINE_MS),
  );
}

/** Generates a trace; the same parameters give the same trace. */
export function createTrace(params: TraceParams): Trace {
  const random = createRandom(params.seed);
  const header = createHeader(params, random);
  const requests = [
    ...createBurstRequests(params, header, random),
    ...createOverloadRequests(params, header, random),
    ...createBatchRequests(params, header, random),
  ].sort((a, b) => a.atMs - b.atMs);
  return { header, requests };
}

/** Traces `association` and `kitami`, and a held-out trace that no policy was fitted to. */
export const TRACE_PARAMS: readonly TraceParams[] = [
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
    batchRequests: 0,
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
    batchRequests: 400,
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
    batchRequests: 150,
    storeMbPerS: 15_600,
  },
];
