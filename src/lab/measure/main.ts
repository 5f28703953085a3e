/**
 * `npm run measure`: replays the traces under each policy and prints the measures. With `--ablate`
 * it also measures policies in which one decision is replaced by a simpler one.
 */
import * as fs from 'node:fs';
import { readTrace } from './files.js';
import { measure } from './measure.js';
import { ABLATIONS, NAIVE_POLICY, DAEMON_POLICY } from './policies.js';
import { replay } from './replay.js';
import type { Measure } from './types.js';

const SEEDS = [1, 2, 3];
const TRACES = ['association', 'kitami', 'third'];

/**
 * Table row of a replay. Columns `worst` and `best` are fractions of requests served in time, by
 * customer; `wrongful` and `inside` refer to requests within the rate.
 */
function createRow(result: Measure): Record<string, string | number> {
  return {
    trace: result.trace,
    policy: result.policy,
    seed: result.seed,
    cold: result.coldStarts,
    'cold p50': Math.round(result.coldP50Ms),
    'cold p95': Math.round(result.coldP95Ms),
    'cold p99': Math.round(result.coldP99Ms),
    'idle h': Number(result.idleEngineHours.toFixed(2)),
    worst: Number(result.worstServed.toFixed(4)),
    best: Number(result.bestServed.toFixed(4)),
    'worst p95': Math.round(result.worstP95Ms),
    wrongful: result.wrongfulRefusals,
    missed: result.deadlineMisses,
    'msg/s': Number(result.messagesPerS.toFixed(1)),
    'p99 inside': Math.round(result.insideP99Ms),
    loads: result.loads,
  };
}

const withAblations = process.argv.includes('--ablate');
const policies = withAblations
  ? [DAEMON_POLICY, ...ABLATIONS, NAIVE_POLICY]
  : [DAEMON_POLICY, NAIVE_POLICY];
const results = TRACES.flatMap((name) => {
  const trace = readTrace(name);
  return policies.flatMap((policy) =>
    (withAblations ? SEEDS.slice(0, 1) : SEEDS).map((seed) =>
      measure(trace, policy, seed, replay(trace, policy, seed)),
    ),
  );
});
console.table(results.map(createRow));
fs.mkdirSync('reports', { recursive: true });
fs.writeFileSync('reports/measure.json', JSON.stringify(results, null, 2));
console.log('results written to reports/measure.json');
