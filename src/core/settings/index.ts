/** Reads and validates the settings file of a daemon. */
import * as fs from 'node:fs';
import * as toml from 'smol-toml';
import { Result } from 'true-myth';
import type { z } from 'zod';
import * as errors from '../errors/index.js';
import { type RelaySettings, type Settings, settingsSchema } from './types.js';

export { settingsSchema } from './types.js';
export type { RelaySettings, Settings } from './types.js';

/** Formats the issues of a schema validation, one line each, preceded by the path of the value. */
export function formatIssues(issues: readonly z.core.$ZodIssue[]): string {
  return issues
    .map((issue) => `${issue.path.map(String).join('.') || '(file)'}: ${issue.message}`)
    .join('\n');
}

/** Parses and validates the text of a settings file. The failure lists all issues. */
export function parseSettings(text: string, peer: string): Result<Settings, errors.Failure> {
  const fail = (detail: string) =>
    Result.err<Settings, errors.Failure>(
      errors.createFailure(errors.data.InvalidSettings, 'read settings', peer, detail),
    );
  let raw: unknown;
  try {
    raw = toml.parse(text);
  } catch (err) {
    return fail(errors.describe(err));
  }
  const parsed = settingsSchema.safeParse(raw);
  return parsed.success ? Result.ok(parsed.data) : fail(formatIssues(parsed.error.issues));
}

/** Whether the daemon runs in relay mode, which relays requests on the users' platform. */
export function isRelay(settings: Settings): settings is RelaySettings {
  return settings.relay.enabled;
}

/** Reads the settings file at `path`. */
export function readSettings(path: string): Result<Settings, errors.Failure> {
  try {
    return parseSettings(fs.readFileSync(path, 'utf8'), path);
  } catch (err) {
    return Result.err(
      errors.createFailure(
        errors.data.InvalidSettings,
        'read settings',
        path,
        errors.describe(err),
      ),
    );
  }
}
