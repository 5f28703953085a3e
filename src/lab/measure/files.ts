/** Reads and writes trace files: JSON lines, the first of which describes the deployment. */
import * as fs from 'node:fs';
import type { Trace, TraceHeader, TraceRequest } from './types.js';

/** Path of the trace file, relative to the project root. */
export function traceFile(name: string): string {
  return `traces/${name}.jsonl`;
}

export function writeTrace({ header, requests }: Trace): void {
  const lines = [header, ...requests].map((line) => JSON.stringify(line));
  fs.writeFileSync(traceFile(header.name), `${lines.join('\n')}\n`);
}

export function readTrace(name: string): Trace {
  const lines = fs.readFileSync(traceFile(name), 'utf8').trimEnd().split('\n');
  const [header = '{}', ...rest] = lines;
  return {
    header: JSON.parse(header) as TraceHeader,
    requests: rest.map((line) => JSON.parse(line) as TraceRequest),
  };
}
