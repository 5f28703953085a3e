/** Tests that are skipped because of known faults, as listed in KNOWN-RED.txt. */
import * as fs from 'node:fs';

const LISTED = fs.existsSync('KNOWN-RED.txt')
  ? fs
      .readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length))
  : [];

/** Whether to skip the test of this name: it is listed, and `KNOWN_RED=run` is not set. */
export function isKnownRed(name: string): boolean {
  return process.env.KNOWN_RED !== 'run' && LISTED.includes(name);
}
