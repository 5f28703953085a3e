/**
 * No brittle server turns more requests away in a second than it states, although messages take time,
 * VMs restart and stewards change.
 */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import { SlotHolder, SlotIssuer } from '../../../src/decisions/brittle-servers/index.js';

const SERVER = 's1';
const STEP_MS = 5;
const NEEDS_MS = 25;
const VALID_MS = 350;
/** Requests that wait at each VM at all times. */
const WAITING = 3;
/** The platform's `stable_window_ms`, from which the bound holds. */
const STABLE_WINDOW_MS = 3_000;
const SECOND_MS = 1_000;

interface Server {
  readonly slots: number;
  /** Requests that it runs at once. */
  room: number;
  readonly rejectionsPerS: number;
  /** Time that a request runs, ms. */
  readonly runMs: number;
}

interface Vm {
  holder: SlotHolder;
  received: number;
  turnedAway: number;
  /** Differs after a restart: what was sent to the process before does not reach it. */
  process: number;
}

/** Entry VMs that have requests for one server at all times. */
class Fleet {
  private nowMs = 0;

  private readonly random = createRandom(1);

  private issuer: SlotIssuer | null = null;

  /** Whether a steward that issues no slots is connected. */
  private isOlder = false;

  private readonly vms: readonly Vm[];

  /** Messages, requests and responses on their way. */
  private inbox: { readonly atMs: number; apply(): void }[] = [];

  private running = 0;

  served = 0;

  /** Largest number of requests that were in flight at the server. */
  maxRunning = 0;

  readonly turnedAwayAtMs: number[] = [];

  constructor(
    readonly server: Server,
    vmCount: number,
    private readonly delayMs: number,
  ) {
    this.vms = Array.from({ length: vmCount }, () => ({
      holder: new SlotHolder(this.random.real()),
      received: 0,
      turnedAway: 0,
      process: 0,
    }));
    // Each VM has its part of the requests in flight when the server becomes brittle.
    const inFlight = Math.floor((server.slots * 0.9) / vmCount);
    this.vms.forEach((vm) => Array.from({ length: inFlight }, () => this.send(vm)));
    this.changeSteward();
    this.vms.forEach(({ holder }) => this.tellBrittle(holder));
    this.vms.forEach((vm) => this.connect(vm));
  }

  run(ms: number): void {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      this.step();
    }
  }

  changeSteward(): void {
    this.issuer = new SlotIssuer(this.nowMs);
    this.isOlder = false;
    this.updateIssuer();
    this.vms.forEach((vm) => this.connect(vm));
  }

  loseSteward(): void {
    this.issuer = null;
    this.isOlder = false;
    this.vms.forEach(({ holder }) => {
      holder.setSteward(this.nowMs, false, this.vms.length);
      holder.setUnissued(this.nowMs, null);
    });
  }

  /** A steward of a build that issues no slots is connected to all VMs. */
  useOlderSteward(): void {
    this.loseSteward();
    this.isOlder = true;
    this.vms.forEach((vm) => this.connect(vm));
  }

  /** Kills a VM; the server ends the requests whose connections are closed. */
  restart(at: number): void {
    const vm = this.vms[at % this.vms.length] as Vm;
    this.issuer?.removeVm(this.nowMs, this.keyOf(vm));
    Object.assign(vm, {
      holder: new SlotHolder(this.random.real()),
      received: 0,
      turnedAway: 0,
      process: vm.process + 1,
    });
    this.tellBrittle(vm.holder);
    this.connect(vm);
  }

  /** Largest number of requests turned away in any second after the stable window. */
  maxTurnedAway(): number {
    const counted = this.turnedAwayAtMs.filter((atMs) => atMs >= STABLE_WINDOW_MS);
    return counted.reduce((max, atMs) => {
      const inside = counted.filter((other) => other > atMs - SECOND_MS && other <= atMs);
      return Math.max(max, inside.length);
    }, 0);
  }

  private step(): void {
    const { issuer, nowMs } = this;
    const arrived = this.inbox.filter(({ atMs }) => atMs <= nowMs);
    this.inbox = this.inbox.filter(({ atMs }) => atMs > nowMs);
    arrived.forEach(({ apply }) => apply());
    this.vms.forEach((vm) => {
      while (vm.holder.allows(nowMs, SERVER, this.server.slots)) this.send(vm);
      if (issuer !== null) this.flush(issuer, vm);
    });
    this.updateIssuer();
    issuer?.issue(nowMs).forEach(({ vm: key, serverId }) => this.grant(key, serverId));
  }

  private flush(issuer: SlotIssuer, vm: Vm): void {
    const { holder, received, turnedAway } = vm;
    const returned = holder.takeReturned(this.nowMs);
    const isDue = this.nowMs % NEEDS_MS === 0;
    if (returned.size === 0 && turnedAway === 0 && !isDue) return;
    const key = this.keyOf(vm);
    Object.assign(vm, { turnedAway: 0 });
    this.post(() => {
      if (this.issuer !== issuer) return;
      returned.forEach((count, id) => issuer.release(key, id, count));
      Array.from({ length: turnedAway }, () => issuer.noteTurnedAway(this.nowMs, key, SERVER))
        .filter((pauseMs) => pauseMs !== null)
        .forEach((pauseMs) => this.pauseAll(pauseMs));
      const needs = [{ servers: new Map([[SERVER, 0]]), needed: WAITING }];
      if (isDue) issuer.request(this.nowMs, key, needs, received, VALID_MS);
    });
  }

  private pauseAll(pauseMs: number): void {
    this.post(() => this.vms.forEach(({ holder }) => holder.pause(this.nowMs, SERVER, pauseMs)));
  }

  private grant(key: string, serverId: string): void {
    const vm = this.vms.find((other) => this.keyOf(other) === key);
    if (vm === undefined) return;
    const { process } = vm;
    this.post(() => {
      if (vm.process !== process) return;
      vm.received += 1;
      vm.holder.receive(this.nowMs, serverId, 1);
    });
  }

  private send(vm: Vm): void {
    const { process, holder } = vm;
    holder.start(this.nowMs, SERVER);
    this.post(() => {
      if (this.running >= this.server.room) {
        this.turnedAwayAtMs.push(this.nowMs);
        this.post(() => {
          holder.noteTurnedAway(this.nowMs, SERVER);
          Object.assign(vm, { turnedAway: vm.turnedAway + (vm.process === process ? 1 : 0) });
          holder.end(this.nowMs, SERVER);
        });
        return;
      }
      this.running += 1;
      this.maxRunning = Math.max(this.maxRunning, this.running);
      this.post(() => {
        this.running -= 1;
        this.served += 1;
        this.post(() => holder.end(this.nowMs, SERVER));
      }, this.server.runMs);
    });
  }

  private connect(vm: Vm): void {
    const { issuer } = this;
    vm.holder.setUnissued(this.nowMs, this.isOlder ? this.vms.length : null);
    if (issuer === null) return;
    vm.holder.setSteward(this.nowMs, true, this.vms.length);
    Object.assign(vm, { received: 0 });
    const held = vm.holder.held();
    const key = this.keyOf(vm);
    this.post(() => held.forEach((count, id) => issuer.hold(key, id, count)));
  }

  private tellBrittle(holder: SlotHolder): void {
    holder.setBrittle(this.nowMs, new Map([[SERVER, this.server.rejectionsPerS]]));
  }

  private updateIssuer(): void {
    this.issuer?.setServers(this.nowMs, new Map([[SERVER, this.server]]));
  }

  private keyOf(vm: Vm): string {
    return `${this.vms.indexOf(vm)} ${vm.process}`;
  }

  private post(apply: () => void, ms = this.delayMs): void {
    this.inbox.push({ atMs: this.nowMs + ms, apply });
  }
}

const servers = fc.record({
  slots: fc.integer({ min: 2, max: 40 }),
  rejectionsPerS: fc.oneof(
    fc.constantFrom(0.4, 1, 3, 10),
    fc.double({ min: 0, max: 1e9, noNaN: true }),
  ),
  runMs: fc.integer({ min: 10, max: 2_000 }),
});
const vmCounts = fc.integer({ min: 1, max: 20 });
const delays = fc.integer({ min: 0, max: 30 });
const events = fc.array(
  fc.tuple(
    fc.constantFrom('steward', 'lost', 'older', 'restart', 'wait'),
    fc.integer({ min: 20, max: 3_000 }),
  ),
  { minLength: 2, maxLength: 8 },
);

function play(fleet: Fleet, steps: readonly (readonly [string, number])[]): void {
  steps.forEach(([event, ms], at) => {
    if (event === 'steward') fleet.changeSteward();
    if (event === 'lost') fleet.loseSteward();
    if (event === 'older') fleet.useOlderSteward();
    if (event === 'restart') fleet.restart(at);
    fleet.run(ms);
  });
  fleet.run(2 * SECOND_MS);
}

describe('a brittle server', () => {
  test('turns few requests away in any second, whatever happens to VMs and stewards', () => {
    fc.assert(
      fc.property(servers, vmCounts, delays, events, (spec, vmCount, delayMs, steps) => {
        const fleet = new Fleet({ ...spec, room: spec.slots }, vmCount, delayMs);
        fleet.run(STABLE_WINDOW_MS);
        play(fleet, steps);
        expect(fleet.maxTurnedAway()).toBeLessThanOrEqual(Math.max(1, spec.rejectionsPerS));
      }),
      { seed: 41, numRuns: 150 },
    );
  });

  test('that has less room than slots turns away few in any second', () => {
    fc.assert(
      fc.property(servers, vmCounts, delays, (spec, vmCount, delayMs) => {
        const room = Math.max(1, Math.floor(spec.slots / 2));
        const fleet = new Fleet({ ...spec, room }, vmCount, delayMs);
        fleet.run(STABLE_WINDOW_MS + 15_000);
        expect(fleet.maxTurnedAway()).toBeLessThanOrEqual(Math.max(1, spec.rejectionsPerS));
      }),
      { seed: 42, numRuns: 60 },
    );
  });
});
