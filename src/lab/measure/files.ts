/** Trace files: JSON lines, the deployment first. */
import * as fs from 'node:fs';
import type { Trace, TraceHead, TraceRequest } from './types.js';

export function traceFile(name: string): string {
  return `traces/${name}.jsonl`;
}

export function writeTrace({ head, requests }: Trace): void {
  const lines = [head, ...requests].map((line) => JSON.stringify(line));
  fs.writeFileSync(traceFile(head.name), `${lines.join('\n')}\n`);
}

export function readTrace(name: string): Trace {
  const lines = fs.readFileSync(traceFile(name), 'utf8').trimEnd().split('\n');
  const [head = '{}', ...rest] = lines;
  return {
    head: JSON.parse(head) as TraceHead,
    requests: rest.map((line) => JSON.parse(line) as TraceRequest),
  };
}
