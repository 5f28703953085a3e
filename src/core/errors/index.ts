/** Errors as values: a failure carries the kind of error, the operation and the peer involved. */
import type { ErrorDefinition, Failure } from './types.js';

export * as data from './errors-data.js';
export { Ran } from './types.js';
export type { ErrorDefinition, Failure } from './types.js';

/**
 * Creates a failure of kind `def`.
 *
 * `step` names the operation that failed, `peer` the party that it was performed with or on, and
 * `detail` fills in the message.
 */
export function createFailure(
  def: ErrorDefinition,
  step: string,
  peer: string,
  detail = '',
): Failure {
  return {
    name: def.name,
    title: def.title,
    status: def.status,
    message: def.message(detail),
    hint: def.hint,
    step,
    peer,
  };
}

/** Formats a failure as one line for a terminal. */
export function formatFailure(failure: Failure): string {
  return `${failure.name} (${failure.step}, ${failure.peer}): ${failure.message} ${failure.hint}`;
}

/** Returns the message of a thrown value of any type. */
export function describe(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Log fields of an exception that no code expected: its message, and where it was thrown. */
export function describeWithStack(err: unknown): { reason: string; stack: string | undefined } {
  return { reason: describe(err), stack: err instanceof Error ? err.stack : undefined };
}
