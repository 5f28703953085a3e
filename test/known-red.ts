/** Tests that fail for a known fault and are passed over; they are listed in KNOWN-RED.txt. */
import * as fs from 'node:fs';

const LISTED = fs.existsSync('KNOWN-RED.txt')
  ? fs
      .readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length))
  : [];

/** Whether a test of this name is listed; `KNOWN_RED=run` runs it all the same. */
export function isKnownRed(name: string): boolean {
  return process.env.KNOWN_RED !== 'run' && LISTED.includes(name);
}
