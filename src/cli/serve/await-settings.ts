/**
 * Waits for a settings file that is missing or incomplete: the platform may still be writing it when
 * it starts the process.
 */
import type { Result } from 'true-myth';
import * as clocks from '../../core/clock/index.js';
import type * as errors from '../../core/errors/index.js';
import { readSettings, type Settings } from '../../core/settings/index.js';

const POLL_MS = 100;
/** Time after which an invalid file counts as final, ms. */
const MAX_WAIT_MS = 30_000;

export interface SettingsWait {
  /** Whether the process was told to stop. */
  isStopping(): boolean;
  /** Called when the reason to wait has changed. */
  onInvalid(failure: errors.Failure): void;
}

/** Resolves with valid settings, or with the last failure once the wait is over. */
export async function awaitSettings(
  path: string,
  { isStopping, onInvalid }: SettingsWait,
): Promise<Result<Settings, errors.Failure>> {
  const untilMs = performance.now() + MAX_WAIT_MS;
  let reason = '';
  let settings = readSettings(path);
  while (settings.isErr && !isStopping() && performance.now() < untilMs) {
    if (settings.error.message !== reason) onInvalid(settings.error);
    reason = settings.error.message;
    await clocks.sleep(POLL_MS);
    settings = readSettings(path);
  }
  return settings;
}
