/** Bounds the bytes that the bodies of all requests hold in this process. */

/** Bytes of a body that need no claim, so that large bodies don't displace small requests. */
const SMALL_BODY_BYTES = 16_384;

/** The memory for the body of one request. */
export interface BodyClaim {
  /** Claims memory for more bytes; false if there is none left. */
  take(bytes: number): boolean;
  /** Called once the body is no longer kept, or its request has ended. */
  release(): void;
}

export class BodyMemory {
  private claimedBytes = 0;

  /** @param maxBytes Maximum bytes of the bodies of all requests together. */
  constructor(private readonly maxBytes: number) {}

  open(): BodyClaim {
    let receivedBytes = 0;
    let claimedBytes = 0;
    return {
      take: (bytes) => {
        receivedBytes += bytes;
        const more = Math.max(0, receivedBytes - SMALL_BODY_BYTES) - claimedBytes;
        if (more > 0 && this.claimedBytes + more > this.maxBytes) return false;
        claimedBytes += more;
        this.claimedBytes += more;
        return true;
      },
      release: () => {
        this.claimedBytes -= claimedBytes;
        claimedBytes = 0;
      },
    };
  }
}
