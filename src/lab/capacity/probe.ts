/** Measures the processor time, bytes and memory of a piece of work at several sizes. */

/** One measured point. */
export interface Point {
  readonly size: number;
  /** Processor time of one unit of work, µs. */
  readonly cpuUs: number;
  /** Bytes on the wire of one unit of work. */
  readonly bytes: number;
  /** Memory that the state holds, bytes. */
  readonly heapBytes: number;
}

/** A straight line through the points: value = base + slope · size. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/** What is measured at one size. */
export interface Work {
  /** Does one unit of work and returns the bytes that it would send. */
  run(): number;
  /** Keeps the state alive while memory is read. */
  readonly state: unknown;
}

const WARM_UP_RUNS = 20;
const SHORTEST_MS = 150;

function heapNow(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

/** Measures `create(size)` once. */
export function probe(size: number, create: (size: number) => Work): Point {
  const heapBefore = heapNow();
  const work = create(size);
  const heapBytes = Math.max(0, heapNow() - heapBefore);
  Array.from({ length: WARM_UP_RUNS }).forEach(() => work.run());
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  let runs = 0;
  let bytes = 0;
  while (performance.now() - startMs < SHORTEST_MS) {
    bytes += work.run();
    runs += 1;
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  if (work.state === undefined) throw new Error('the state is gone');
  return { size, cpuUs: (user + system) / runs, bytes: bytes / runs, heapBytes };
}

/** Least-squares line through points. */
export function fit(points: readonly (readonly [number, number])[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const above = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const below = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = below === 0 ? 0 : above / below;
  return { base: meanY - slope * meanX, slope };
}

/** Value of the line at `size`; never below zero. */
export function at({ base, slope }: Line, size: number): number {
  return Math.max(0, base + slope * size);
}
