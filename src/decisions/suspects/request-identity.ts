/** Identity of a request that all of its attempts share. */
import { fingerprintOf } from './fingerprint.js';

export class RequestIdentity {
  /** Fingerprint of path, customer and body; the same when the caller repeats the request. */
  readonly broad: string;

  private cachedExact: string | null = null;

  /** @param describeHeaders Returns the request's significant headers; called only when needed. */
  constructor(
    target: string,
    body: string,
    private readonly describeHeaders: () => string,
  ) {
    this.broad = fingerprintOf(target, body);
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
