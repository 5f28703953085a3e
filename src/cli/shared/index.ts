/** Shared by the commands: output, exit codes and access to the platform. */
import * as errors from '../../core/errors/index.js';
import { createPlatformClient, type PlatformClient } from '../../entry/platform/index.js';

export const ExitCode = { ok: 0, failed: 1, usage: 2 } as const;

const PLATFORM_TIMEOUT_MS = 5_000;

export const jsonArg = {
  type: 'boolean',
  default: false,
  description: 'Print JSON.',
} as const;

export const platformArg = {
  type: 'string',
  required: true,
  description: "Address of the platform's object API, such as 10.0.0.1:7000.",
} as const;

/** Prints a failure as one line on standard error and sets the exit code. */
export function printFailure(failure: errors.Failure): void {
  console.error(errors.formatFailure(failure));
  process.exitCode = ExitCode.failed;
}

export function printJson(value: unknown): void {
  console.log(JSON.stringify(value, null, 2));
}

/** Runs `work` with a platform client that is closed afterwards. */
export async function withPlatform(
  address: string,
  work: (platform: PlatformClient) => Promise<void>,
): Promise<void> {
  const platform = createPlatformClient(address, PLATFORM_TIMEOUT_MS);
  try {
    await work(platform);
  } finally {
    await platform.close();
  }
}
