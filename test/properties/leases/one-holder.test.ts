/** At most one entry VM holds the lease under lost responses, pauses and clock drift. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as leases from '../../../src/decisions/leases/index.js';
import * as storeVersions from '../../../src/decisions/store-versions/index.js';

const DURATION_MS = 3_000;
const MARGIN_MS = 500;
/** Clock speeds of the VMs; the margin covers the drift. */
const CLOCK_SPEEDS = [1, 1.02, 0.98];

interface Vm {
  readonly name: string;
  readonly speed: number;
  manager: leases.LeaseManager;
  selector: leases.SuccessorSelector;
  /** Number of restarts of its process. */
  restarts: number;
  /** When it last reported to the holder. */
  reportedAtMs: number;
  /** Until then the VM neither runs nor receives messages. */
  pausedUntilMs: number;
}

/** A store call whose result has not been delivered. */
interface InFlightCall {
  readonly vm: Vm;
  /** Restarts of the VM at the time of the call. */
  readonly restarts: number;
  readonly effect: leases.LeaseEffect;
}

interface Message {
  readonly to: Vm;
  readonly published: leases.SentLease & { readonly heirTerm?: leases.SuccessorTerm };
}

/** Effects that call the store. */
const STORE_CALLS: ReadonlySet<string> = new Set([
  leases.LeaseEffectType.read,
  leases.LeaseEffectType.write,
]);

class LeaseWorld {
  nowMs = 0;

  stored: leases.Lease | null = null;

  /** Revision of the stored lease, which is the only object; 0 if there is none. */
  private revision = 0;

  /** A copy of the store from which it may return. */
  private copy: { readonly stored: leases.Lease | null; readonly revision: number } = {
    stored: null,
    revision: 0,
  };

  readonly vms: Vm[];

  private inFlight: InFlightCall[] = [];

  private readonly messages: Message[] = [];

  /** Writes whose result was lost and that take effect later. */
  private lateWrites: leases.LeaseEffect[] = [];

  epochsHeld: number[] = [];

  /** VMs in a partition that resets connections to other VMs, but not to the store. */
  private readonly cut = new Set<string>();

  /** VMs that can't reach the servers and are therefore replaced as successors. */
  private readonly partitioned = new Set<string>();

  /** VMs that are not connected to the holder and therefore can't be named as successors. */
  private readonly disconnected = new Set<string>();

  /** @param era Era of the store; 0 for a store that names none and never returns from a copy. */
  constructor(private era = 0) {
    this.vms = CLOCK_SPEEDS.map((speed, index) => {
      const name = `vm-${index}`;
      const selector = new leases.SuccessorSelector(DURATION_MS);
      const manager = this.createManager(name);
      return {
        name,
        speed,
        manager,
        selector,
        restarts: 0,
        reportedAtMs: -Infinity,
        pausedUntilMs: 0,
      };
    });
  }

  private get version(): number {
    return storeVersions.versionOf(this.era, this.revision);
  }

  /** A store without a lease is taken for a new one, so that only copies with a lease are made. */
  copyStore(): void {
    if (this.stored === null) return;
    this.copy = { stored: this.stored, revision: this.revision };
  }

  /** Returns the store from its copy; revisions are then assigned again. */
  restoreStore(): void {
    if (this.copy.stored === null) return;
    this.era += 1;
    this.stored = this.copy.stored;
    this.revision = this.copy.revision;
  }

  /** Restarts the VM's process; calls of the old process remain in flight. */
  restart(vm: Vm): void {
    Object.assign(vm, {
      manager: this.createManager(vm.name),
      selector: new leases.SuccessorSelector(DURATION_MS),
      restarts: vm.restarts + 1,
      pausedUntilMs: 0,
    });
  }

  /** Connects a VM to the holder or disconnects it. */
  toggleConnected({ name }: Vm): void {
    if (!this.disconnected.delete(name)) this.disconnected.add(name);
  }

  /** Partitions a VM from the servers or ends the partition. */
  toggleReached({ name }: Vm): void {
    if (!this.partitioned.delete(name)) this.partitioned.add(name);
  }

  /** Separates a VM from the others or ends the partition. */
  togglePartitioned({ name }: Vm): void {
    if (!this.cut.delete(name)) this.cut.add(name);
  }

  /** Connects `vm` to the active steward it knows; an inactive one reports its epoch as retired. */
  dial(vm: Vm): void {
    const { activeSteward } = vm.manager;
    const peer = this.vms.find(({ name }) => name === activeSteward?.vm);
    if (activeSteward === null || peer === undefined || peer === vm) return;
    // A refused connection does not prove that the steward is inactive.
    if (this.cut.has(vm.name) || this.cut.has(peer.name)) return;
    if (this.nowMs < peer.pausedUntilMs || !peer.manager.confirmInactive(this.clockOf(peer)))
      return;
    const { newestEpoch } = peer.manager;
    this.feed(vm, {
      type: leases.LeaseEventType.epochRetired,
      epoch: activeSteward.fence,
      newestEpoch,
    });
  }

  private createManager(self: string): leases.LeaseManager {
    return new leases.LeaseManager({
      self,
      address: self,
      durationMs: DURATION_MS,
      marginMs: MARGIN_MS,
      heir: () => this.successorOf(self),
    });
  }

  private successorOf(self: string) {
    const vm = this.vms.find(({ name }) => name === self);
    const candidates = this.vms
      .filter(({ name }) => name !== self && !this.disconnected.has(name))
      .map(({ name }) => ({
        vm: name,
        address: name,
        sinceMs: 0,
        leaving: false,
        partitions: this.partitioned.has(name) ? 1 : 0,
      }));
    return vm?.selector.choose(this.clockOf(vm), candidates) ?? null;
  }

  clockOf({ speed }: Vm): number {
    return this.nowMs * speed;
  }

  holders(): readonly string[] {
    return this.vms.filter((vm) => vm.manager.holds(this.clockOf(vm))).map(({ name }) => name);
  }

  feed(vm: Vm, event: leases.LeaseEvent): void {
    if (this.nowMs < vm.pausedUntilMs) return;
    vm.manager.handle(this.clockOf(vm), event).forEach((effect) => {
      if (effect.type === leases.LeaseEffectType.acquired) this.epochsHeld.push(effect.epoch);
      else if (STORE_CALLS.has(effect.type))
        this.inFlight.push({ vm, restarts: vm.restarts, effect });
    });
  }

  /** A VM reports to the holder, which measures the successor's term from then. */
  report(vm: Vm): void {
    if (this.nowMs >= vm.pausedUntilMs) Object.assign(vm, { reportedAtMs: this.nowMs });
  }

  /** The holder sends its lease to another VM; the message may be delivered late. */
  publish(to: Vm): void {
    const holder = this.vms.find(
      (vm) => vm !== to && this.nowMs >= vm.pausedUntilMs && vm.manager.holds(this.clockOf(vm)),
    );
    const published = holder?.manager.heldLease(this.clockOf(holder)) ?? null;
    if (holder === undefined || published === null) return;
    const fromMs = to.reportedAtMs * to.speed;
    const untilMs = fromMs + published.leftMs + (this.nowMs - to.reportedAtMs) * holder.speed;
    const isSuccessor = published.lease.heir?.vm === to.name && to.reportedAtMs > -Infinity;
    const heirTerm = isSuccessor ? { fromMs, untilMs } : undefined;
    this.messages.push({ to, published: { ...published, heirTerm } });
  }

  /** Delivers the oldest message. */
  deliver(): void {
    const message = this.messages.shift();
    if (message === undefined) return;
    this.feed(message.to, { type: leases.LeaseEventType.sent, ...message.published });
  }

  /** Completes a store call with the given outcome. */
  resolve(which: number, outcome: string): void {
    const index = which % Math.max(1, this.inFlight.length);
    const call = this.inFlight[index];
    if (call === undefined || this.nowMs < call.vm.pausedUntilMs) return;
    this.inFlight.splice(index, 1);
    const { vm, effect } = call;
    if (call.restarts !== vm.restarts) {
      // The calling process has exited, but its write may still take effect.
      if (outcome !== 'lost') this.write(effect);
      return;
    }
    const { LeaseEventType } = leases;
    if (effect.type === leases.LeaseEffectType.read) {
      this.feed(
        vm,
        outcome === 'done'
          ? { type: LeaseEventType.read, lease: this.stored, version: this.version }
          : { type: LeaseEventType.readFailed },
      );
      return;
    }
    if (outcome === 'late') this.lateWrites.push(effect);
    const ok = outcome === 'done' || outcome === 'answer-lost' ? this.write(effect) : false;
    if (outcome !== 'done') this.feed(vm, { type: LeaseEventType.writeUnknown });
    else if (ok) this.feed(vm, { type: LeaseEventType.written, version: this.version });
    else this.feed(vm, { type: LeaseEventType.conflict });
  }

  /** Runs only one VM; each of its store calls succeeds. */
  run(vm: Vm, forMs: number): void {
    Array.from({ length: forMs / 100 }).forEach(() => {
      this.nowMs += 100;
      this.feed(vm, { type: leases.LeaseEventType.tick });
      this.resolve(0, 'done');
    });
  }

  /** Makes a write whose result was lost take effect. */
  applyLateWrite(which: number): void {
    const [effect] = this.lateWrites.splice(which % Math.max(1, this.lateWrites.length), 1);
    if (effect !== undefined) this.write(effect);
  }

  private write(effect: leases.LeaseEffect): boolean {
    if (effect.type !== leases.LeaseEffectType.write) return false;
    // The store compares revisions only, whatever era they were assigned in.
    if (storeVersions.revisionOf(effect.version) !== this.revision) return false;
    this.stored = effect.lease;
    this.revision += 1;
    return true;
  }
}

const MOVES = [
  'resolve',
  'resolve',
  'resolve',
  'tick',
  'tick',
  'pause',
  'land',
  'release',
  'tell',
  'tell',
  'deliver',
  'deliver',
  'report',
  'report',
  'dial',
  'dial',
  'restart',
  'toggleHeard',
  'toggleCut',
  'handOver',
  'handOverStoreLost',
  'toggleReached',
];
const RESTORES = ['copy', 'restore'];

const movesFrom = (names: readonly string[]) =>
  fc.array(
    fc.record({
      do: fc.constantFrom(...names),
      a: fc.nat(5),
      ms: fc.constantFrom(0, 50, 400, 1_000, 2_900),
      outcome: fc.constantFrom('done', 'done', 'done', 'answer-lost', 'lost', 'late'),
    }),
    { minLength: 30, maxLength: 200 },
  );

describe('the lease of a data centre', () => {
  test.each([
    ['', 0, MOVES],
    [', also if the store returns from copies', 1, [...MOVES, ...RESTORES]],
  ])('has at most one holder, and its epoch increases with each change%s', (_, era, names) => {
    fc.assert(
      fc.property(movesFrom(names), (steps) => {
        const world = new LeaseWorld(era);
        let maxHolders = 0;
        steps.forEach(({ do: what, a, ms, outcome }) => {
          world.nowMs += ms;
          const vm = world.vms[a % world.vms.length];
          if (vm === undefined) return;
          if (what === 'resolve') world.resolve(a, outcome);
          else if (what === 'tick') world.feed(vm, { type: leases.LeaseEventType.tick });
          else if (what === 'tell') world.publish(vm);
          else if (what === 'deliver') world.deliver();
          else if (what === 'land') world.applyLateWrite(a);
          else if (what === 'pause') vm.pausedUntilMs = world.nowMs + ms * 4;
          else if (what === 'report') world.report(vm);
          else if (what === 'dial') world.dial(vm);
          else if (what === 'restart' && a > 2) world.restart(vm);
          else if (what === 'toggleHeard') world.toggleConnected(vm);
          else if (what === 'copy') world.copyStore();
          else if (what === 'restore') world.restoreStore();
          else if (what === 'toggleCut') world.togglePartitioned(vm);
          else if (what === 'toggleReached') world.toggleReached(vm);
          else if (what === 'handOver') {
            world.feed(vm, { type: leases.LeaseEventType.handOver });
          } else if (what === 'handOverStoreLost') {
            world.feed(vm, { type: leases.LeaseEventType.handOver, isStoreLost: true });
          } else if (what === 'release' && a > 2) {
            world.feed(vm, { type: leases.LeaseEventType.release });
          }
          maxHolders = Math.max(maxHolders, world.holders().length);
        });
        expect(maxHolders).toBeLessThanOrEqual(1);
        const sorted = [...world.epochsHeld].sort((x, y) => x - y);
        expect(world.epochsHeld).toEqual(sorted);
        expect(new Set(sorted).size).toBe(sorted.length);
      }),
      { seed: 20261204, numRuns: 10_000 },
    );
  });

  test('is acquired sooner by a VM that received its last renewal from the holder', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    if (first === undefined || second === undefined) throw new Error('no VMs');
    world.run(first, 2_000);
    world.publish(second);
    world.deliver();
    world.run(second, DURATION_MS + MARGIN_MS + 300);
    expect(world.holders()).toEqual(['vm-1']);
  });

  test('is acquired at once from an exited holder that named no successor', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    world.vms.forEach((vm) => world.toggleConnected(vm));
    if (first === undefined || second === undefined) throw new Error('no VMs');
    [first, second].forEach((vm, at) => {
      if (at === 1) {
        vm.manager.handle(world.nowMs, {
          type: leases.LeaseEventType.epochRetired,
          epoch: 1,
          newestEpoch: 1,
        });
      }
      world.run(vm, 400);
    });
    expect(world.stored?.holder).toBe('vm-1');
    expect(world.stored?.epoch).toBe(2);
  });

  test('is acquired after its holder has stopped renewing it', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    world.vms.forEach((vm) => world.toggleConnected(vm));
    if (first === undefined || second === undefined) throw new Error('no VMs');
    world.run(first, 2_000);
    expect(world.holders()).toEqual(['vm-0']);
    world.run(second, 6_000);
    expect(world.holders()).toEqual(['vm-1']);
    expect(world.stored?.epoch).toBe(2);
  });

  test('is acquired at once in a new store, whatever its era', () => {
    const world = new LeaseWorld(3);
    const [first] = world.vms;
    if (first === undefined) throw new Error('no VMs');
    world.run(first, 200);
    expect(world.holders()).toEqual(['vm-0']);
  });
});

describe('a lease that the store has lost altogether', () => {
  const manager = (self: string) =>
    new leases.LeaseManager({ self, durationMs: DURATION_MS, marginMs: MARGIN_MS });
  const { LeaseEventType, LeaseEffectType } = leases;
  const typesOf = (effects: readonly leases.LeaseEffect[]) => effects.map(({ type }) => type);
  const held = { holder: 'vm-0', epoch: 9, durationMs: DURATION_MS, era: 1, renewal: 1 };
  const lost = {
    type: LeaseEventType.read,
    lease: null,
    version: storeVersions.versionOf(2, 0),
  } as const;

  test('is acquired by a VM that knew it only after a whole term, with unknown allowances', () => {
    const vm = manager('vm-1');
    vm.handle(0, { type: LeaseEventType.tick });
    vm.handle(0, {
      type: LeaseEventType.read,
      lease: held,
      version: storeVersions.versionOf(1, 7),
    });
    vm.handle(2_000, { type: LeaseEventType.tick });
    expect(typesOf(vm.handle(2_000, lost))).toEqual([]);
    vm.handle(5_400, { type: LeaseEventType.tick });
    expect(typesOf(vm.handle(5_400, lost))).toEqual([]);
    vm.handle(5_600, { type: LeaseEventType.tick });
    expect(typesOf(vm.handle(5_600, lost))).toEqual([LeaseEffectType.write]);
    const written = {
      type: LeaseEventType.written,
      version: storeVersions.versionOf(2, 1),
    } as const;
    const acquired = vm.handle(5_600, written)[0];
    expect(acquired).toMatchObject({ type: LeaseEffectType.acquired, note: null });
  });
});
