/** Fingerprints that identify a request across its attempts and across entry VMs. */
import { createHash } from 'node:crypto';

const SEGMENT_PREFIX = 'segment:';
/** Longer segment ids are hashed, to this length. */
const MAX_SEGMENT_ID_LENGTH = 32;

/** Whether this is the fingerprint of a prompt segment, not of a request. */
export function isSegmentFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(SEGMENT_PREFIX);
}

/** Abbreviated fingerprint for log events. */
export function shortFingerprint(fingerprint: string): string {
  return isSegmentFingerprint(fingerprint) ? fingerprint : fingerprint.slice(0, 12);
}

/** Hash of a request's target and body. */
export function fingerprintOf(target: string, body: string): string {
  return createHash('sha256').update(target).update('\0').update(body).digest('hex');
}

/** Fingerprint of a prompt segment, which different requests may share. */
export function segmentFingerprint(segmentId: string): string {
  const isShort = segmentId.length <= MAX_SEGMENT_ID_LENGTH;
  const hash = () => fingerprintOf(segmentId, '').slice(0, MAX_SEGMENT_ID_LENGTH);
  return SEGMENT_PREFIX + (isShort ? segmentId : hash());
}
