/** Shows the whole path: a fleet of processes, a recorded trace, one entry VM killed midway. */
import * as fs from 'node:fs';
import { Fleet } from '../fleet/index.js';
import { demoEdits, demoSpec } from './tree.js';
import { judge, printReport } from './report.js';
import { playTrace, type TraceLine } from './player.js';

const TRACE = 'traces/demo.jsonl';
/** Part of the trace after which an entry VM is killed. */
const KILL_AFTER = 0.5;

function readTrace(): readonly TraceLine[] {
  return fs
    .readFileSync(TRACE, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TraceLine);
}

console.log('starting the platform, the weight store, 6 engines, 3 order desks and 6 entry VMs …');
const fleet = await Fleet.start(demoSpec, demoEdits);
try {
  await fleet.settle();
  const trace = readTrace();
  const spanMs = Math.max(...trace.map(({ atMs }) => atMs));
  console.log(`sending ${trace.length} requests in ${spanMs} ms …`);
  const killer = setTimeout(() => {
    const [victim] = fleet.entries;
    if (victim === undefined) return;
    console.log(`killing ${victim.id}`);
    victim.process.signal('SIGKILL');
    fleet.removeEntry(victim);
    void fleet.publishVms();
  }, spanMs * KILL_AFTER);
  const results = await playTrace(fleet, trace);
  clearTimeout(killer);
  const verdict = await judge(fleet, results);
  printReport(results, verdict);
  process.exitCode = verdict.faults.length === 0 ? 0 : 1;
} finally {
  await fleet.stop();
}
