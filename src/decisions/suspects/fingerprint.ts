/** What identifies a request however often and wherever it is sent. */
import { createHash } from 'node:crypto';

/** A fingerprint as it stands in log lines. */
export function shortFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, 12);
}

/** A hash of what a request is sent to and of its body. */
export function fingerprintOf(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('hex');
}
