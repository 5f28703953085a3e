/** How often the steward and an entry VM speak to each other, so that any fleet's steward keeps up. */

/** Least pause, ms: below it a change is no sooner of use. */
const LEAST_PAUSE_MS = 60;
/** Messages a second that a steward takes from all members, and as many that it sends. */
const MESSAGES_PER_S = 400;
const MS_PER_S = 1000;
/** Least and longest pause between two looks at all engines, ms, and pause for each engine. */
const LEAST_LOOK_MS = 20;
const LONGEST_LOOK_MS = 150;
const LOOK_MS_PER_ENGINE = 0.5;

/** Pause between two regular messages of one member, ms. */
export function paceMs(members: number): number {
  return Math.max(LEAST_PAUSE_MS, (members * MS_PER_S) / MESSAGES_PER_S);
}

/** Pause between two looks of the steward at all engines and all that waits, ms. */
export function lookMs(engines: number): number {
  return Math.min(LONGEST_LOOK_MS, Math.max(LEAST_LOOK_MS, engines * LOOK_MS_PER_ENGINE));
}
