/** Starts the program as a child process and waits for its `started` event. */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type { FleetProcess } from './types.js';

const START_TIMEOUT_MS = 20_000;

/**
 * Starts `node program args…` and appends its output to `logFile`. Rejects when the process exits
 * or prints no `started` event within `START_TIMEOUT_MS`.
 */
export function startProcess(
  name: string,
  program: string,
  args: readonly string[],
  logFile: string,
): Promise<FleetProcess> {
  const log = fs.openSync(logFile, 'a');
  const child = spawn(process.execPath, [program, ...args], { stdio: ['ignore', 'pipe', log] });
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${name} did not report its start in time; see ${logFile}`)),
      START_TIMEOUT_MS,
    );
    void exited.then((code) => reject(new Error(`${name} exited with ${code}; see ${logFile}`)));
    const { stdout } = child;
    if (stdout === null) throw new Error(`${name} has no stdout pipe`);
    readline.createInterface({ input: stdout }).on('line', (line) => {
      fs.writeSync(log, `${line}\n`);
      if (!line.startsWith('{"event":"started"')) return;
      clearTimeout(timer);
      resolve({
        name,
        pid: child.pid ?? 0,
        started: JSON.parse(line) as Record<string, string>,
        exited,
        signal: (signal) => child.kill(signal),
      });
    });
  });
}
