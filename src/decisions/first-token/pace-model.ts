/**
 * Learns the pace of a service from measured times to the first token.
 *
 * A least-squares fit over recent samples, which is held to prior values with small weights: load and
 * prompt length often vary too little to tell their effects apart, and then the prior values remain.
 */
import type { Pace } from './types.js';

/** Weight that older samples lose with each new one; a fit covers about 500 samples. */
const SAMPLE_DECAY = 0.998;
/** Samples from which a fit is used. */
const MIN_SAMPLES = 20;
/** Prior values: base time, ms; time by load, ms; time per 1,000 prompt tokens, ms. */
const PRIOR = [20, 100, 50] as const;
/** Weights of the prior values, in samples of the same size. */
const PRIOR_WEIGHTS = [0.1, 1, 0.2] as const;
/** A sample counts with at most this multiple of its estimate: failures take any time. */
const MAX_SAMPLE_RATIO = 4;
/**
 * Bounds of the time by load, ms. With less than the minimum, a few milliseconds of prompt processing
 * would concentrate requests on a part of the servers.
 */
const MIN_LOAD_MS = 50;
const MAX_LOAD_MS = 2_000;
/** Bounds of the prompt processing rate, tokens per ms. */
const MIN_TOKENS_PER_MS = 1;
const MAX_TOKENS_PER_MS = 1_000;
const TOKENS_PER_UNIT = 1_000;

type Vector = readonly number[];

function dot(a: Vector, b: Vector): number {
  return a.reduce((sum, value, i) => sum + value * (b[i] ?? 0), 0);
}

/** Solves `matrix * x = values` for a positive definite matrix by Gaussian elimination. */
function solve(matrix: readonly Vector[], values: Vector): Vector {
  const rows = matrix.map((row, i) => [...row, values[i] ?? 0]);
  const reduced = rows.reduce<readonly Vector[]>((before, _, col) => {
    const pivotRow = before[col] ?? [];
    const pivot = pivotRow[col] ?? 1;
    const scaled = pivotRow.map((value) => value / pivot);
    return before.map((row, i) =>
      i === col ? scaled : row.map((value, j) => value - (row[col] ?? 0) * (scaled[j] ?? 0)),
    );
  }, rows);
  return reduced.map((row) => row[values.length] ?? 0);
}

export class PaceModel {
  private products: readonly Vector[] = PRIOR.map((_, i) =>
    PRIOR_WEIGHTS.map((weight, j) => (i === j ? weight : 0)),
  );

  private sums: Vector = PRIOR.map((value, i) => value * (PRIOR_WEIGHTS[i] ?? 0));

  private fit: Vector = PRIOR;

  private samples = 0;

  /** The learnt pace; null while it is unknown. */
  get pace(): Pace | null {
    if (this.samples < MIN_SAMPLES) return null;
    const [baseMs = 0, loadMs = 0, msPerUnit = 0] = this.fit;
    return {
      baseMs: Math.max(0, baseMs),
      loadMs: Math.min(MAX_LOAD_MS, Math.max(MIN_LOAD_MS, loadMs)),
      tokensPerMs: Math.min(
        MAX_TOKENS_PER_MS,
        Math.max(MIN_TOKENS_PER_MS, TOKENS_PER_UNIT / Math.max(1e-6, msPerUnit)),
      ),
    };
  }

  /** Estimated time to the first token at a server of usual speed, ms. */
  estimateMs(utilisation: number, newTokens: number): number {
    return Math.max(1, dot(this.fit, [1, utilisation, newTokens / TOKENS_PER_UNIT]));
  }

  /** Adds the time that a server of usual speed would have taken. */
  note(utilisation: number, newTokens: number, tookMs: number): void {
    const inputs = [1, utilisation, newTokens / TOKENS_PER_UNIT];
    const limitMs = this.estimateMs(utilisation, newTokens) * MAX_SAMPLE_RATIO;
    const valueMs = Math.min(tookMs, limitMs);
    // The prior keeps its weight: only the samples lose theirs.
    const priorOf = (i: number) => PRIOR_WEIGHTS[i] ?? 0;
    const decay = (value: number, prior: number) => prior + (value - prior) * SAMPLE_DECAY;
    this.products = this.products.map((row, i) =>
      row.map((value, j) => {
        const prior = i === j ? priorOf(i) : 0;
        return decay(value, prior) + (inputs[i] ?? 0) * (inputs[j] ?? 0);
      }),
    );
    this.sums = this.sums.map(
      (value, i) => decay(value, priorOf(i) * (PRIOR[i] ?? 0)) + (inputs[i] ?? 0) * valueMs,
    );
    this.samples += 1;
    this.fit = solve(this.products, this.sums);
  }
}
