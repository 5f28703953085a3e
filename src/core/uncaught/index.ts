/**
 * Shuts the process down gracefully after an exception that no code has caught.
 *
 * The exception leaves the state of some task unknown, so that the process must end. The requests in
 * progress have nothing to do with it, and are served first.
 */
import * as errors from '../errors/index.js';
import type { Logger } from '../logger/index.js';

/** Maximum number of exceptions that are logged: a timer may throw at each of its calls. */
const MAX_LOGGED = 10;

export interface UncaughtOptions {
  readonly logger: Logger;
  /** Shuts the process down gracefully. */
  stop(): Promise<void>;
  exit(): void;
}

/** The events of the process that report an exception. */
export interface ExceptionSource {
  on(event: 'uncaughtException', handler: (err: unknown) => void): unknown;
}

export function stopOnUncaught(
  source: ExceptionSource,
  { logger, stop, exit }: UncaughtOptions,
): void {
  let count = 0;
  source.on('uncaughtException', (err) => {
    count += 1;
    if (count <= MAX_LOGGED) logger.error('uncaught-exception', errors.describeWithStack(err));
    if (count === 1) void stop().then(exit, exit);
  });
}
