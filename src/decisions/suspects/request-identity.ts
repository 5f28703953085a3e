/** How one request is told from others, whatever attempt of it this is. */
import { fingerprintOf } from './fingerprint.js';

export class RequestIdentity {
  /** By path, customer and body: as a caller repeats it. */
  readonly broad: string;

  private exactOrNull: string | null = null;

  /** @param asked What the request's headers ask for, worked out only where it is needed. */
  constructor(
    target: string,
    body: string,
    private readonly asked: () => string,
  ) {
    this.broad = fingerprintOf(target, body);
  }

  /** By its headers too, for requests that look the same otherwise. */
  get exact(): string {
    this.exactOrNull ??= fingerprintOf(this.broad, this.asked());
    return this.exactOrNull;
  }
}
