/** Measures CPU time, bytes and memory of a workload at a given size, and fits lines to them. */

/** Measurement at one size. */
export interface Point {
  readonly size: number;
  /** CPU time of one unit of work, µs. */
  readonly cpuUs: number;
  /** Bytes on the wire of one unit of work. */
  readonly bytes: number;
  /** Heap memory that the state occupies, bytes. */
  readonly heapBytes: number;
}

/** A line fitted to points: value = base + slope · size. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/** A workload at one size. */
export interface Workload {
  /** Does one unit of work and returns the number of bytes that it would send. */
  run(): number;
  /** References the state, so that it is not garbage-collected before its memory is measured. */
  readonly state: unknown;
}

const WARM_UP_RUNS = 20;
/** Minimum duration of a measurement. */
const MIN_MEASUREMENT_MS = 150;

function heapUsedBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

/** Measures one workload; the memory is exact only with `node --expose-gc`. */
export function measurePoint(size: number, create: (size: number) => Workload): Point {
  const heapBefore = heapUsedBytes();
  const work = create(size);
  const heapBytes = Math.max(0, heapUsedBytes() - heapBefore);
  Array.from({ length: WARM_UP_RUNS }).forEach(() => work.run());
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  let runs = 0;
  let bytes = 0;
  while (performance.now() - startMs < MIN_MEASUREMENT_MS) {
    bytes += work.run();
    runs += 1;
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  if (work.state === undefined) throw new Error('workload has no state to measure');
  return { size, cpuUs: (user + system) / runs, bytes: bytes / runs, heapBytes };
}

/** Least-squares line through (size, value) points. */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { base: meanY - slope * meanX, slope };
}

/** Value of the line at `size`, or 0 if it is negative. */
export function valueAt({ base, slope }: Line, size: number): number {
  return Math.max(0, base + slope * size);
}
