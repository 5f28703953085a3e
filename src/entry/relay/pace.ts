/** How often the steward and an entry VM speak to each other, so that any fleet's steward keeps up. */

/** Least pause, ms: below it a change is no sooner of use. */
const LEAST_PAUSE_MS = 60;
/** Messages a second that a steward takes from all members, and as many that it sends. */
const MESSAGES_PER_S = 400;
const MS_PER_S = 1000;

/** Pause between two regular messages of one member, ms. */
export function paceMs(members: number): number {
  return Math.max(LEAST_PAUSE_MS, (members * MS_PER_S) / MESSAGES_PER_S);
}
