/**
 * Versions of stored objects that also increase when the store returns from an older copy.
 *
 * The store assigns revisions again after such a return, and counts its returns in its era. A
 * version combines both, so that two versions compare by era first. A version whose revision is 0
 * belongs to an object that does not exist.
 */

/** Revisions that an era can hold; leaves room for 8,192 eras in a safe integer. */
const REVISIONS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 13 - 1;

/** Whether versions can be made of this era and revision. */
export function isValid(era: number, revision: number): boolean {
  return era >= 0 && era <= MAX_ERA && revision >= 0 && revision < REVISIONS_PER_ERA;
}

export function versionOf(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

export function eraOf(version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA);
}

export function revisionOf(version: number): number {
  return version % REVISIONS_PER_ERA;
}

/** Formats a version for logs, as ERA/REVISION. */
export function format(version: number): string {
  return `${eraOf(version)}/${revisionOf(version)}`;
}
