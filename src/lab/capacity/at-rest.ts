/** `npm run capacity:rest`: measures memory, CPU time and platform calls of an idle fleet. */
import * as fs from 'node:fs';
import * as clock from '../../core/clock/index.js';
import { demoEdits, demoSpec } from '../demo/deployment.js';
import { callControlEndpoint, Fleet } from '../fleet/index.js';

const MEASUREMENT_MS = 20_000;
/** Unit of the CPU times in /proc: clock ticks per second. */
const TICKS_PER_S = 100;
/** Index of `utime` in /proc/PID/stat; `stime` follows it. */
const UTIME_FIELD = 13;

function cpuSeconds(pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
  return (Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1])) / TICKS_PER_S;
}

function residentMb(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(line?.[1] ?? 0) / 1_024;
}

/** Calls that the platform stand-in received, by kind. */
type Counters = Readonly<Record<string, number>>;

const fleet = await Fleet.start(demoSpec, demoEdits);
try {
  await fleet.settle();
  await clock.sleep(5_000);
  const pids = fleet.entries.map(({ process: entry }) => entry.pid);
  const calls = () => callControlEndpoint<Counters>(fleet.platformAddress, '/_counters');
  const before = { cpu: pids.map(cpuSeconds), calls: await calls() };
  await clock.sleep(MEASUREMENT_MS);
  const after = { cpu: pids.map(cpuSeconds), calls: await calls() };
  const seconds = MEASUREMENT_MS / 1_000;
  console.table(
    fleet.entries.map(({ id }, index) => ({
      'entry VM': id,
      'resident MB': Math.round(residentMb(pids[index] ?? 0)),
      '% of a core': Number(
        ((((after.cpu[index] ?? 0) - (before.cpu[index] ?? 0)) / seconds) * 100).toFixed(2),
      ),
    })),
  );
  console.table(
    Object.keys(after.calls).map((kind) => ({
      'platform calls': kind,
      'a second': ((after.calls[kind] ?? 0) - (before.calls[kind] ?? 0)) / seconds,
    })),
  );
} finally {
  await fleet.stop();
}
