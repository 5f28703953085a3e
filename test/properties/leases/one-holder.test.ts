/** At most one entry VM holds the lease, under lost answers, pauses and clocks that differ. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as leases from '../../../src/decisions/leases/index.js';

const DURATION_MS = 3_000;
const MARGIN_MS = 500;
/** Clocks of VMs run at slightly different speeds; the margin covers it. */
const SPEEDS = [1, 1.02, 0.98];

interface Vm {
  readonly name: string;
  readonly speed: number;
  keeper: leases.LeaseKeeper;
  heirs: leases.HeirChoice;
  /** How often its process was started again. */
  life: number;
  /** When it reported to the holder last. */
  reportedAtMs: number;
  /** The VM neither runs nor learns anything until then. */
  pausedUntilMs: number;
}

interface Flight {
  readonly vm: Vm;
  readonly life: number;
  readonly effect: leases.LeaseEffect;
}

interface Message {
  readonly to: Vm;
  readonly told: leases.ToldLease & { readonly heirTerm?: leases.HeirTerm };
}

/** Effects that call the store. */
const CALLS: ReadonlySet<string> = new Set([
  leases.LeaseEffectType.read,
  leases.LeaseEffectType.write,
]);

class LeaseWorld {
  nowMs = 0;

  stored: leases.Lease | null = null;

  version = 0;

  readonly vms: Vm[];

  private flights: Flight[] = [];

  private readonly messages: Message[] = [];

  private late: leases.LeaseEffect[] = [];

  epochsHeld: number[] = [];

  /** VMs that a cut with resets keeps from the others, though not from the store. */
  private readonly cut = new Set<string>();

  /** VMs that can't be named heirs, since their holder does not hear them. */
  private readonly unheard = new Set<string>();

  constructor() {
    this.vms = SPEEDS.map((speed, index) => {
      const name = `vm-${index}`;
      const heirs = new leases.HeirChoice(DURATION_MS);
      const keeper = this.createKeeper(name);
      return { name, speed, keeper, heirs, life: 0, reportedAtMs: -Infinity, pausedUntilMs: 0 };
    });
  }

  /** The VM's process ends and another one is started; calls of the old one go on without it. */
  restart(vm: Vm): void {
    Object.assign(vm, {
      keeper: this.createKeeper(vm.name),
      heirs: new leases.HeirChoice(DURATION_MS),
      life: vm.life + 1,
      pausedUntilMs: 0,
    });
  }

  /** A VM is heard again, or no more. */
  toggleHeard({ name }: Vm): void {
    if (!this.unheard.delete(name)) this.unheard.add(name);
  }

  /** A VM is cut off from the others, or no more. */
  toggleCut({ name }: Vm): void {
    if (!this.cut.delete(name)) this.cut.add(name);
  }

  /** Dials the steward that it knows, and learns whether it has ended or has no office. */
  dial(vm: Vm): void {
    const { post } = vm.keeper;
    const peer = this.vms.find(({ name }) => name === post?.vm);
    if (post === null || peer === undefined || peer === vm) return;
    // A refused connection tells nothing.
    if (this.cut.has(vm.name) || this.cut.has(peer.name)) return;
    if (this.nowMs < peer.pausedUntilMs || !peer.keeper.renounce(this.clockOf(peer))) return;
    const { newest } = peer.keeper;
    this.feed(vm, { type: leases.LeaseEventType.holderGone, epoch: post.fence, newest });
  }

  private createKeeper(self: string): leases.LeaseKeeper {
    return new leases.LeaseKeeper({
      self,
      address: self,
      durationMs: DURATION_MS,
      marginMs: MARGIN_MS,
      heir: () => this.heirOf(self),
    });
  }

  private heirOf(self: string) {
    const vm = this.vms.find(({ name }) => name === self);
    const candidates = this.vms
      .filter(({ name }) => name !== self && !this.unheard.has(name))
      .map(({ name }) => ({ vm: name, address: name, sinceMs: 0, leaving: false }));
    return vm?.heirs.choose(this.clockOf(vm), candidates) ?? null;
  }

  clockOf({ speed }: Vm): number {
    return this.nowMs * speed;
  }

  holders(): readonly string[] {
    return this.vms.filter((vm) => vm.keeper.holds(this.clockOf(vm))).map(({ name }) => name);
  }

  feed(vm: Vm, event: leases.LeaseEvent): void {
    if (this.nowMs < vm.pausedUntilMs) return;
    vm.keeper.handle(this.clockOf(vm), event).forEach((effect) => {
      if (effect.type === leases.LeaseEffectType.acquired) this.epochsHeld.push(effect.epoch);
      else if (CALLS.has(effect.type)) this.flights.push({ vm, life: vm.life, effect });
    });
  }

  /** A VM reports; the holder's word to its heir counts from then. */
  report(vm: Vm): void {
    if (this.nowMs >= vm.pausedUntilMs) Object.assign(vm, { reportedAtMs: this.nowMs });
  }

  /** The holder tells another VM of its lease; the message may come late, but never early. */
  tell(to: Vm): void {
    const holder = this.vms.find(
      (vm) => vm !== to && this.nowMs >= vm.pausedUntilMs && vm.keeper.holds(this.clockOf(vm)),
    );
    const told = holder?.keeper.held(this.clockOf(holder)) ?? null;
    if (holder === undefined || told === null) return;
    const fromMs = to.reportedAtMs * to.speed;
    const untilMs = fromMs + told.leftMs + (this.nowMs - to.reportedAtMs) * holder.speed;
    const isHeir = told.lease.heir?.vm === to.name && to.reportedAtMs > -Infinity;
    const heirTerm = isHeir ? { fromMs, untilMs } : undefined;
    this.messages.push({ to, told: { ...told, heirTerm } });
  }

  /** Delivers the oldest message. */
  deliver(): void {
    const message = this.messages.shift();
    if (message === undefined) return;
    this.feed(message.to, { type: leases.LeaseEventType.told, ...message.told });
  }

  resolve(which: number, fate: string): void {
    const index = which % Math.max(1, this.flights.length);
    const flight = this.flights[index];
    if (flight === undefined || this.nowMs < flight.vm.pausedUntilMs) return;
    this.flights.splice(index, 1);
    const { vm, effect } = flight;
    if (flight.life !== vm.life) {
      // The process that called has ended; its write may take effect all the same.
      if (fate !== 'lost') this.write(effect);
      return;
    }
    const { LeaseEventType } = leases;
    if (effect.type === leases.LeaseEffectType.read) {
      this.feed(
        vm,
        fate === 'done'
          ? { type: LeaseEventType.read, lease: this.stored, version: this.version }
          : { type: LeaseEventType.readFailed },
      );
      return;
    }
    if (fate === 'late') this.late.push(effect);
    const ok = fate === 'done' || fate === 'answer-lost' ? this.write(effect) : false;
    if (fate !== 'done') this.feed(vm, { type: LeaseEventType.writeUnknown });
    else if (ok) this.feed(vm, { type: LeaseEventType.written, version: this.version });
    else this.feed(vm, { type: LeaseEventType.conflict });
  }

  /** Lets one VM run alone, its calls answered. */
  run(vm: Vm, forMs: number): void {
    Array.from({ length: forMs / 100 }).forEach(() => {
      this.nowMs += 100;
      this.feed(vm, { type: leases.LeaseEventType.tick });
      this.resolve(0, 'done');
    });
  }

  land(which: number): void {
    const [effect] = this.late.splice(which % Math.max(1, this.late.length), 1);
    if (effect !== undefined) this.write(effect);
  }

  private write(effect: leases.LeaseEffect): boolean {
    if (effect.type !== leases.LeaseEffectType.write || effect.version !== this.version)
      return false;
    this.stored = effect.lease;
    this.version += 1;
    return true;
  }
}

const moves = fc.array(
  fc.record({
    do: fc.constantFrom(
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
    ),
    a: fc.nat(5),
    ms: fc.constantFrom(0, 50, 400, 1_000, 2_900),
    fate: fc.constantFrom('done', 'done', 'done', 'answer-lost', 'lost', 'late'),
  }),
  { minLength: 30, maxLength: 200 },
);

describe('the lease of a data centre', () => {
  test('has at most one holder, and its epoch rises with each change', () => {
    fc.assert(
      fc.property(moves, (steps) => {
        const world = new LeaseWorld();
        let mostHolders = 0;
        steps.forEach(({ do: what, a, ms, fate }) => {
          world.nowMs += ms;
          const vm = world.vms[a % world.vms.length];
          if (vm === undefined) return;
          if (what === 'resolve') world.resolve(a, fate);
          else if (what === 'tick') world.feed(vm, { type: leases.LeaseEventType.tick });
          else if (what === 'tell') world.tell(vm);
          else if (what === 'deliver') world.deliver();
          else if (what === 'land') world.land(a);
          else if (what === 'pause') vm.pausedUntilMs = world.nowMs + ms * 4;
          else if (what === 'report') world.report(vm);
          else if (what === 'dial') world.dial(vm);
          else if (what === 'restart' && a > 2) world.restart(vm);
          else if (what === 'toggleHeard') world.toggleHeard(vm);
          else if (what === 'toggleCut') world.toggleCut(vm);
          else if (what === 'release' && a > 2) {
            world.feed(vm, { type: leases.LeaseEventType.release });
          }
          mostHolders = Math.max(mostHolders, world.holders().length);
        });
        expect(mostHolders).toBeLessThanOrEqual(1);
        const sorted = [...world.epochsHeld].sort((x, y) => x - y);
        expect(world.epochsHeld).toEqual(sorted);
        expect(new Set(sorted).size).toBe(sorted.length);
      }),
      { seed: 20261204, numRuns: 10_000 },
    );
  });

  test('is taken over sooner by who was told of its last renewal', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    if (first === undefined || second === undefined) throw new Error('no VMs');
    world.run(first, 2_000);
    world.tell(second);
    world.deliver();
    world.run(second, DURATION_MS + MARGIN_MS + 300);
    expect(world.holders()).toEqual(['vm-1']);
  });

  test('is taken over at once from a process that has ended without an heir', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    world.vms.forEach((vm) => world.toggleHeard(vm));
    if (first === undefined || second === undefined) throw new Error('no VMs');
    [first, second].forEach((vm, at) => {
      if (at === 1) {
        vm.keeper.handle(world.nowMs, {
          type: leases.LeaseEventType.holderGone,
          epoch: 1,
          newest: 1,
        });
      }
      world.run(vm, 400);
    });
    expect(world.stored?.holder).toBe('vm-1');
    expect(world.stored?.epoch).toBe(2);
  });

  test('is taken over after its holder fell silent', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    world.vms.forEach((vm) => world.toggleHeard(vm));
    if (first === undefined || second === undefined) throw new Error('no VMs');
    world.run(first, 2_000);
    expect(world.holders()).toEqual(['vm-0']);
    world.run(second, 6_000);
    expect(world.holders()).toEqual(['vm-1']);
    expect(world.stored?.epoch).toBe(2);
  });
});
