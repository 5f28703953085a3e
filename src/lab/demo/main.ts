/**
 * `npm run demo`: starts a fleet of processes, replays a recorded trace, kills an entry VM midway
 * and checks the results.
 */
import * as fs from 'node:fs';
import { Fleet } from '../fleet/index.js';
import { demoEdits, demoSpec } from './deployment.js';
import { summarize, printReport } from './report.js';
import { sendTrace, type TraceLine } from './trace-sender.js';

const TRACE = 'traces/demo.jsonl';
/** Fraction of the duration of the trace after which an entry VM is killed. */
const KILL_AT_FRACTION = 0.5;

function readTrace(): readonly TraceLine[] {
  return fs
    .readFileSync(TRACE, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TraceLine);
}

console.log(
  'starting the platform, the weight store, 6 engines, 3 service backends and 6 entry VMs …',
);
const fleet = await Fleet.start(demoSpec, demoEdits);
try {
  await fleet.settle();
  const trace = readTrace();
  const traceMs = Math.max(...trace.map(({ atMs }) => atMs));
  console.log(`sending ${trace.length} requests in ${traceMs} ms …`);
  const killTimer = setTimeout(() => {
    const [killedEntry] = fleet.entries;
    if (killedEntry === undefined) return;
    console.log(`killing ${killedEntry.id}`);
    killedEntry.process.signal('SIGKILL');
    fleet.removeEntry(killedEntry);
    void fleet.publishVms();
  }, traceMs * KILL_AT_FRACTION);
  const results = await sendTrace(fleet, trace);
  clearTimeout(killTimer);
  const summary = await summarize(fleet, results);
  printReport(results, summary);
  process.exitCode = summary.faults.length === 0 ? 0 : 1;
} finally {
  await fleet.stop();
}
