/** Errors as values: each carries its definition, the step and the peer at which it arose. */
import type { ErrorDefinition, Failure } from './types.js';

export * as data from './errors-data.js';
export { Ran } from './types.js';
export type { ErrorDefinition, Failure } from './types.js';

/** Creates a failure of kind `def` that arose at `step` with `peer`. */
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

/** One line for a terminal. */
export function formatFailure(failure: Failure): string {
  return `${failure.name} (${failure.step}, ${failure.peer}): ${failure.message} ${failure.hint}`;
}

/** The text of anything thrown. */
export function describe(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
