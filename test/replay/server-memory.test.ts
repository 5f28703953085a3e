/** Entry VMs that learn late of each other's requests keep servers within their memory. */
import { describe, expect, test } from 'vitest';
import { createMetrics } from '../../src/core/metrics/index.js';
import { createRandom } from '../../src/core/random/index.js';
import { chooseServer } from '../../src/decisions/engine-choice/index.js';
import type { Run } from '../../src/entry/relay/fleet-view.js';
import { messageIntervalMs } from '../../src/entry/relay/intervals.js';
import { MemoryPermits } from '../../src/entry/relay/memory-permits.js';
import { type MemoryMember, MemoryService } from '../../src/entry/relay/memory-service.js';
import { type RelayMessage, type RelayMessageOf } from '../../src/entry/relay/messages.js';
import { ServerTokens } from '../../src/entry/relay/server-tokens.js';
import { tokensByServer } from '../../src/entry/relay/usage-tracker.js';
import { createBackendServer } from '../units/relay/backend-server.js';

const CAPACITY_TOKENS = 59_960;
const SLOTS = 16;
const RUN_MS = 1_400;
const MAX_WAIT_MS = 2_000;
const POLL_MS = 25;
/** Time of a message between an entry VM and the steward, ms. */
const LATENCY_MS = 5;
const TARGET = { service: 'chat', model: 'm', adapter: null };
const NONE: ReadonlySet<string> = new Set();

interface Load {
  readonly vms: number;
  readonly servers: number;
  readonly requestsPerS: number;
  /** Smallest and largest number of tokens of a request. */
  readonly tokens: readonly [number, number];
}

interface Waiting {
  readonly id: string;
  readonly size: number;
  readonly untilMs: number;
}

/** The steward, its messages in flight, and the servers. */
function createFleet({ vms, servers }: Load) {
  const state = { nowMs: 0, fill: 0, placed: 0, asks: 0 };
  const backends = new Map(
    Array.from({ length: servers }, (_, i) => [`s${i}`, createBackendServer(`s${i}`, TARGET)]),
  );
  const inFlight: { readonly atMs: number; deliver(): void }[] = [];
  const post = (deliver: () => void) => inFlight.push({ atMs: state.nowMs + LATENCY_MS, deliver });
  const members = new Set<MemoryMember>();
  const service = new MemoryService(-1_000, {
    members,
    servers: () => backends,
    memoryTokens: () => CAPACITY_TOKENS,
  });
  return { state, backends, inFlight, post, members, service, vms };
}

type Fleet = ReturnType<typeof createFleet>;

class ReplayedVm {
  readonly waiting = new Map<string, Waiting>();

  private runs: { readonly run: Run; readonly size: number; readonly endMs: number }[] = [];

  private known: ReadonlyMap<string, number> = new Map();

  private readonly member: MemoryMember & { report: MemoryMember['report'] };

  private readonly permits: MemoryPermits;

  private readonly tokens: ServerTokens;

  constructor(
    private readonly fleet: Fleet,
    private readonly random: ReturnType<typeof createRandom>,
  ) {
    const { state, post, members, service } = fleet;
    this.member = {
      report: null,
      link: {
        send: (message: RelayMessage) => {
          post(() => this.permits.handleReply(message as RelayMessageOf<'memory-reply'>));
          return true;
        },
      },
    };
    members.add(this.member);
    const metrics = createMetrics();
    this.permits = new MemoryPermits({
      clock: { steadyMs: () => state.nowMs } as never,
      metrics,
      isStewardConnected: () => true,
      send: (message) => {
        state.asks += 1;
        post(() =>
          service.handleAsk(state.nowMs, this.member, message as RelayMessageOf<'memory-ask'>),
        );
        return true;
      },
      place: (id, serverId) => this.place(id, serverId),
    });
    this.tokens = new ServerTokens({
      metrics,
      memoryTokens: () => CAPACITY_TOKENS,
      isStewardConnected: () => true,
      members: () => fleet.vms,
      runMs: () => RUN_MS,
      permits: this.permits,
    });
  }

  endRuns(): void {
    const { nowMs } = this.fleet.state;
    this.runs
      .filter(({ endMs }) => endMs <= nowMs)
      .forEach(({ run }) => this.tokens.noteEnded(run));
    this.runs = this.runs.filter(({ endMs }) => endMs > nowMs);
    this.waiting.forEach(({ id, untilMs }) => untilMs <= nowMs && this.waiting.delete(id));
  }

  usedAt(id: string): number {
    const here = this.runs.filter(({ run }) => run.server.id === id);
    return here.reduce((sum, { size }) => sum + size, 0);
  }

  report(): void {
    const running = [...this.fleet.backends.keys()].map((server) => ({
      server,
      model: TARGET.model,
      adapter: null,
      running: this.runs.filter(({ run }) => run.server.id === server).length,
      tokens: this.usedAt(server),
    }));
    const report = {
      running,
      memorySeen: this.permits.seen,
    } as unknown as RelayMessageOf<'report'>;
    this.tokens.noteReported();
    this.fleet.post(() => {
      Object.assign(this.member, { report });
      this.fleet.service.handleReport(this.member, report);
    });
  }

  receiveView(): void {
    const reports = [...this.fleet.members].flatMap(({ report }) => report ?? []);
    const tokens = Object.fromEntries(tokensByServer(reports));
    const running = reports.flatMap((report) => report.running);
    const known = [...this.fleet.backends.keys()].map(
      (id) =>
        [
          id,
          running.filter(({ server }) => server === id).reduce((sum, one) => sum + one.running, 0),
        ] as const,
    );
    this.fleet.post(() => {
      this.tokens.applyView({ whole: true, tokens });
      this.known = new Map(known);
    });
  }

  place(id: string, permittedId: string | null = null): void {
    const request = this.waiting.get(id);
    if (request === undefined) return;
    const { state, backends } = this.fleet;
    const candidates = [...backends.values()].map((server) => ({
      id: server.id,
      dataCentre: 'a',
      slots: SLOTS,
      running: this.known.get(server.id) ?? 0,
      slowness: 1,
    }));
    const withRoom =
      permittedId === null
        ? this.tokens.withRoom(TARGET.service, candidates, request.size)
        : candidates.filter((one) => one.id === permittedId);
    const context = { dataCentre: 'a', tried: NONE, random: this.random };
    const server = backends.get(chooseServer(withRoom, context)?.server.id ?? '');
    if (server === undefined) return;
    const { tokens, ...known } = this.tokens.memoryOf(TARGET.service, server.id, request.size);
    if (permittedId === null && this.permits.mustWait(id, server.id, tokens, known)) return;
    const run: Run = { ...TARGET, server, tokens: request.size };
    this.waiting.delete(id);
    this.tokens.noteStarted(run);
    this.runs.push({ run, size: request.size, endMs: state.nowMs + RUN_MS });
    state.placed += 1;
  }
}

/** Replays 20 s; returns the largest fill of any server and the part of requests that were placed. */
function replay(load: Load) {
  const fleet = createFleet(load);
  const random = createRandom(5);
  const { state, inFlight, backends } = fleet;
  const vms = Array.from({ length: load.vms }, () => new ReplayedVm(fleet, random));
  const intervalMs = Math.round(messageIntervalMs(load.vms));
  const counts = { requests: 0 };
  for (; state.nowMs < 20_000; state.nowMs += 1) {
    vms.forEach((vm) => vm.endRuns());
    while ((inFlight[0]?.atMs ?? Infinity) <= state.nowMs) inFlight.shift()?.deliver();
    vms.forEach((vm, i) => {
      if ((state.nowMs + i * 7) % intervalMs === 0) vm.report();
      if ((state.nowMs + i * 7 + 31) % intervalMs === 0) vm.receiveView();
      if ((state.nowMs + i) % POLL_MS === 0) [...vm.waiting.keys()].forEach((id) => vm.place(id));
    });
    if (random.real() < load.requestsPerS / 1_000) {
      counts.requests += 1;
      const id = `r${counts.requests}`;
      const size = random.int(load.tokens[0], load.tokens[1]);
      const vm = random.pick(vms);
      vm?.waiting.set(id, { id, size, untilMs: state.nowMs + MAX_WAIT_MS });
      vm?.place(id);
    }
    const fills = [...backends.keys()].map((id) => vms.reduce((sum, vm) => sum + vm.usedAt(id), 0));
    state.fill = Math.max(state.fill, ...fills.map((used) => used / CAPACITY_TOKENS));
  }
  return { fill: state.fill, placed: state.placed / counts.requests, asks: state.asks };
}

describe('the memory of servers', () => {
  test('is not exceeded by usual requests, which are all placed without asking', () => {
    const result = replay({ vms: 84, servers: 3, requestsPerS: 20, tokens: [700, 1_300] });
    expect(result).toMatchObject({ placed: 1, asks: 0 });
    expect(result.fill).toBeLessThan(0.5);
  });

  // Reports alone let several entry VMs fill the same memory at once: a server had 136 % of it.
  test('is not exceeded when many VMs wait with requests of thousands of tokens', () => {
    const result = replay({ vms: 31, servers: 4, requestsPerS: 40, tokens: [3_000, 9_000] });
    expect(result.fill).toBeLessThanOrEqual(1);
    expect(result.fill).toBeGreaterThan(0.8);
    expect(result.placed).toBeGreaterThan(0.4);
  });

  test('is not exceeded by requests of usual size when their servers fill up', () => {
    const result = replay({ vms: 31, servers: 2, requestsPerS: 30, tokens: [2_000, 6_000] });
    expect(result.fill).toBeLessThanOrEqual(1);
  });
});
