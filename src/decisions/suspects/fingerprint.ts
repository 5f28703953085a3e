/** Fingerprints that identify a request across its attempts and across entry VMs. */
import { createHash } from 'node:crypto';

/** Abbreviated fingerprint for log events. */
export function shortFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, 12);
}

/** Hash of a request's target and body. */
export function fingerprintOf(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('hex');
}
