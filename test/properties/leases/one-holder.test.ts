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
  readonly keeper: leases.LeaseKeeper;
  /** The VM neither runs nor learns anything until then. */
  pausedUntilMs: number;
}

interface Flight {
  readonly vm: Vm;
  readonly effect: leases.LeaseEffect;
}

interface Message {
  readonly to: Vm;
  readonly told: { lease: leases.Lease; version: number; leftMs: number };
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

  constructor() {
    this.vms = SPEEDS.map((speed, index) => {
      const self = `vm-${index}`;
      const cfg = { self, durationMs: DURATION_MS, marginMs: MARGIN_MS };
      return { name: self, speed, keeper: new leases.LeaseKeeper(cfg), pausedUntilMs: 0 };
    });
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
      else if (CALLS.has(effect.type)) this.flights.push({ vm, effect });
    });
  }

  /** The holder tells another VM of its lease; the message may come late, but never early. */
  tell(to: Vm): void {
    const told = this.vms
      .filter((vm) => vm !== to && this.nowMs >= vm.pausedUntilMs)
      .flatMap((vm) => vm.keeper.held(this.clockOf(vm)) ?? [])[0];
    if (told !== undefined) this.messages.push({ to, told });
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
      'deliver',
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
          else if (a === 5) world.feed(vm, { type: leases.LeaseEventType.release });
          else if (a === 4) {
            const successor = { vm: 'vm-0', address: 'there' };
            world.feed(vm, { type: leases.LeaseEventType.release, successor });
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

  test('is taken over at once from a process that has ended', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    if (first === undefined || second === undefined) throw new Error('no VMs');
    [first, second].forEach((vm, at) => {
      if (at === 1) {
        vm.keeper.handle(world.nowMs, { type: leases.LeaseEventType.holderGone, epoch: 1 });
      }
      world.run(vm, 400);
    });
    expect(world.stored?.holder).toBe('vm-1');
    expect(world.stored?.epoch).toBe(2);
  });

  test('is taken over after its holder fell silent', () => {
    const world = new LeaseWorld();
    const [first, second] = world.vms;
    if (first === undefined || second === undefined) throw new Error('no VMs');
    world.run(first, 2_000);
    expect(world.holders()).toEqual(['vm-0']);
    world.run(second, 6_000);
    expect(world.holders()).toEqual(['vm-1']);
    expect(world.stored?.epoch).toBe(2);
  });
});
