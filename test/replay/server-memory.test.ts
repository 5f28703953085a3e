/** Entry VMs that learn late of each other's requests keep servers within their memory. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../src/core/metrics/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { chooseServer } from '../../src/decisions/engine-choice/index.js';
import { messageIntervalMs } from '../../src/entry/relay/intervals.js';
import type { Run } from '../../src/entry/relay/fleet-view.js';
import { ServerTokens } from '../../src/entry/relay/server-tokens.js';
import { createBackendServer } from '../units/relay/backend-server.js';

const CAPACITY_TOKENS = 59_960;
const SLOTS = 16;
const RUN_MS = 1_400;
const NONE: ReadonlySet<string> = new Set();

interface Load {
  readonly vms: number;
  readonly servers: number;
  readonly requestsPerS: number;
  /** Smallest and largest number of tokens of a request. */
  readonly tokens: readonly [number, number];
}

/** Replays 20 s; returns the largest fill of any server and the part of requests that were placed. */
function replay({ vms, servers, requestsPerS, tokens }: Load) {
  const random = createRandom(5);
  const backends = Array.from({ length: servers }, (_, i) => createBackendServer(`s${i}`));
  const members = Array.from({ length: vms }, () => ({
    tokens: new ServerTokens({
      metrics: createMetrics(),
      memoryTokens: () => CAPACITY_TOKENS,
      isStewardConnected: () => true,
      members: () => vms,
      runMs: () => RUN_MS,
    }),
    reported: new Map<string, number>(),
    reportedRuns: new Map<string, number>(),
    known: new Map<string, number>(),
    runs: [] as { run: Run; size: number; endMs: number }[],
  }));
  const counts = { placed: 0, requests: 0, fill: 0 };
  const sum = (maps: readonly ReadonlyMap<string, number>[]) => {
    const total = new Map<string, number>();
    maps.forEach((map) => map.forEach((count, id) => total.set(id, (total.get(id) ?? 0) + count)));
    return total;
  };
  const countsOf = (runs: readonly { run: Run; size: number }[], isTokens: boolean) =>
    sum(runs.map(({ run, size }) => new Map([[run.server.id, isTokens ? size : 1]])));
  const allOf = (counted: ReadonlyMap<string, number>) =>
    new Map(backends.map(({ id }) => [id, counted.get(id) ?? 0]));
  const intervalMs = Math.round(messageIntervalMs(vms));
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1) {
    members.forEach((vm, i) => {
      const ended = vm.runs.filter(({ endMs }) => endMs <= nowMs);
      Object.assign(vm, { runs: vm.runs.filter(({ endMs }) => endMs > nowMs) });
      ended.forEach(({ run }) => vm.tokens.noteEnded(run));
      // A report and a view in each interval, at times that differ between members.
      if ((nowMs + i * 7) % intervalMs === 0) {
        vm.tokens.noteReported();
        Object.assign(vm, {
          reported: countsOf(vm.runs, true),
          reportedRuns: countsOf(vm.runs, false),
        });
      }
      if ((nowMs + i * 7 + 31) % intervalMs === 0) {
        const inFleet = allOf(sum(members.map(({ reported }) => reported)));
        vm.tokens.applyView({ whole: false, tokens: Object.fromEntries(inFleet) });
        Object.assign(vm, { known: sum(members.map(({ reportedRuns }) => reportedRuns)) });
      }
    });
    const arrivals = random.real() < requestsPerS / 1_000 ? 1 : 0;
    const vm = random.pick(members);
    if (arrivals > 0 && vm !== undefined) {
      counts.requests += 1;
      const size = random.int(tokens[0], tokens[1]);
      const candidates = backends.map(({ id, dataCentre }) => ({
        id,
        dataCentre,
        slots: SLOTS,
        running: vm.known.get(id) ?? 0,
        slowness: 1,
      }));
      const withRoom = vm.tokens.withRoom('chat', candidates, size);
      const choice = chooseServer(withRoom, { dataCentre: 'a', tried: NONE, random });
      const server = backends.find(({ id }) => id === choice?.server.id);
      if (server !== undefined) {
        counts.placed += 1;
        const run: Run = { server, service: 'chat', model: 'm', adapter: null, tokens: size };
        vm.tokens.noteStarted(run);
        vm.runs.push({ run, size, endMs: nowMs + RUN_MS });
        const used = countsOf(
          members.flatMap(({ runs }) => runs),
          true,
        );
        counts.fill = Math.max(counts.fill, (used.get(server.id) ?? 0) / CAPACITY_TOKENS);
      }
    }
  }
  return { fill: counts.fill, placed: counts.placed / counts.requests };
}

describe('the memory of servers', () => {
  test('is not exceeded by usual requests, and refuses none of them', () => {
    const { fill, placed } = replay({
      vms: 84,
      servers: 3,
      requestsPerS: 20,
      tokens: [700, 1_300],
    });
    expect(fill).toBeLessThan(1);
    expect(placed).toBe(1);
  });
});
