/** Identity of a request that all of its attempts share, and of what it has in common with others. */
import { fingerprintOf, segmentFingerprint } from './fingerprint.js';

/** Maximum number of prompt segments of one request that are tracked. */
const MAX_SEGMENTS = 16;

/**
 * Fingerprints of the segments of a prompt that other requests may share.
 * @param promptSegments Ids of the prompt's segments; the last one belongs to the request alone.
 */
export function sharedSegments(promptSegments: readonly string[]): readonly string[] {
  const shared = promptSegments.slice(0, -1).slice(0, MAX_SEGMENTS);
  return [...new Set(shared.map(segmentFingerprint))];
}

export class RequestIdentity {
  /** Fingerprint of path, customer and body; the same when the caller repeats the request. */
  readonly broad: string;

  /** Fingerprints of the prompt segments that other requests may share. */
  readonly segments: readonly string[];

  private cachedExact: string | null = null;

  /**
   * @param describeHeaders Returns the request's significant headers; called only when needed.
   * @param promptSegments Ids of the prompt's segments, as for `sharedSegments`.
   */
  constructor(
    target: string,
    body: string,
    private readonly describeHeaders: () => string,
    promptSegments: readonly string[] = [],
  ) {
    this.broad = fingerprintOf(target, body);
    this.segments = sharedSegments(promptSegments);
  }

  /**
   * Fingerprint that also covers the headers; tells apart requests with the same `broad`
   * fingerprint.
   */
  get exact(): string {
    this.cachedExact ??= fingerprintOf(this.broad, this.describeHeaders());
    return this.cachedExact;
  }
}
