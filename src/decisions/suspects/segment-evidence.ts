/**
 * Weighs the evidence that a prompt segment crashes the servers that begin to answer requests with
 * it.
 *
 * A crash interrupts all runs of a server, and most of them are sound. What tells them apart is how
 * far they had come: a run that the server had begun but sent no event of is strong evidence
 * against its segments, one that was still queued is weak evidence, and one that sends events or
 * completes is proof that its segments are sound. Segments of sound requests are proven
 * continually, so that evidence accumulates only against the others.
 */
import { RunProgress, type SegmentRun } from './types.js';

/** Weight of a run by its progress. */
const WEIGHTS: Readonly<Record<RunProgress, number>> = {
  [RunProgress.begun]: 5,
  [RunProgress.unclear]: 3,
  [RunProgress.abandoned]: 3,
};
/** Weight at which a segment is suspected; less is needed against a new one. */
const WEIGHT_LIMIT = 15;
const NEW_WEIGHT_LIMIT = 10;
/** A single request that crashes servers is no evidence against the segments that it shares. */
const MIN_REQUESTS = 2;

/**
 * Delay of the first request that probes whether a refused segment is sound, ms; each failed probe
 * multiplies it. It is longer for a new segment.
 */
const PROBE_DELAY_MS = 2_000;
const NEW_PROBE_DELAY_MS = 30_000;
const PROBE_BACKOFF_FACTOR = 4;

/** An interrupted run of a request with the segment. */
export interface SegmentIncident {
  readonly run: SegmentRun;
  /** Key of the server's process. */
  readonly serverKey: string;
  /** Whether the server is known to have crashed. */
  readonly isConfirmed: boolean;
}

function weightOf(incidents: readonly SegmentIncident[]): number {
  return incidents
    .filter(({ run, isConfirmed }) => isConfirmed || run.progress !== RunProgress.abandoned)
    .reduce((sum, { run }) => sum + WEIGHTS[run.progress], 0);
}

function weightLimit(isNew: boolean): number {
  return isNew ? NEW_WEIGHT_LIMIT : WEIGHT_LIMIT;
}

/**
 * Whether there is enough evidence against a segment to refuse requests for it.
 * @param isNew Whether no request with the segment has run to completion, though others have.
 */
export function isSegmentSuspected(incidents: readonly SegmentIncident[], isNew: boolean): boolean {
  const requests = new Set(incidents.map(({ run }) => run.request));
  return requests.size >= MIN_REQUESTS && weightOf(incidents) >= weightLimit(isNew);
}

/**
 * Segments that were in all runs which tell most against a segment, itself included. Any of them may
 * be the one at fault. A request with only some of them is not refused: its run shows whether the
 * fault is among those.
 */
export function companionsOf(incidents: readonly SegmentIncident[]): readonly string[] {
  const begun = incidents.filter(({ run }) => run.progress === RunProgress.begun);
  const strongest = begun.length > 0 ? begun : incidents;
  const [first, ...others] = strongest.map(({ run }) => run.segments);
  return (first ?? []).filter((segment) => others.every((segments) => segments.includes(segment)));
}

/**
 * Time after the last incident or probe of a refused segment at which the next probe is due, ms.
 * @param isNew As for `isSegmentSuspected`.
 */
export function probeDelayMs(incidents: readonly SegmentIncident[], isNew: boolean): number {
  const excess = Math.max(0, weightOf(incidents) - weightLimit(isNew));
  const failedProbes = Math.floor(excess / WEIGHTS[RunProgress.begun]);
  const firstDelayMs = isNew ? NEW_PROBE_DELAY_MS : PROBE_DELAY_MS;
  return firstDelayMs * PROBE_BACKOFF_FACTOR ** failedProbes;
}
