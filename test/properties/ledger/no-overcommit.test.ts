/** Checks that engines load only decided replicas and never exceed their memory. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { CallOutcome, EngineWorld } from './world.js';

const moves = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        do: fc.constant('resolve' as const),
        a: fc.nat(5),
        outcome: fc.constantFrom(...Object.values(CallOutcome), CallOutcome.done, CallOutcome.done),
      }),
    },
    { weight: 3, arbitrary: fc.record({ do: fc.constant('inventory' as const), a: fc.nat(2) }) },
    {
      weight: 2,
      arbitrary: fc.record({
        do: fc.constant('load' as const),
        a: fc.nat(2),
        mb: fc.constantFrom(20, 40, 60),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({ do: fc.constant('unload' as const), a: fc.nat(2), b: fc.nat(3) }),
    },
    { weight: 3, arbitrary: fc.record({ do: fc.constant('tick' as const), a: fc.nat(2) }) },
    {
      weight: 2,
      arbitrary: fc.record({
        do: fc.constant('pass' as const),
        ms: fc.constantFrom(1, 1_100, 10_000, 31_000),
      }),
    },
    { weight: 1, arbitrary: fc.record({ do: fc.constant('land' as const), a: fc.nat(3) }) },
    {
      weight: 1,
      arbitrary: fc.record({ do: fc.constantFrom('crown' as const, 'crash' as const) }),
    },
  ),
  { minLength: 20, maxLength: 150 },
);

type Move = (typeof moves extends fc.Arbitrary<infer T> ? T : never)[number];

function play(world: EngineWorld, move: Move): void {
  switch (move.do) {
    case 'resolve':
      world.resolve(move.a, move.outcome);
      break;
    case 'inventory':
      world.inventory(move.a);
      break;
    case 'load':
      world.load(move.a, move.mb);
      break;
    case 'unload':
      world.unload(move.a, move.b);
      break;
    case 'tick':
      world.tick(move.a);
      break;
    case 'pass':
      world.advance(move.ms);
      break;
    case 'land':
      world.deliverLate(move.a);
      break;
    case 'crown':
      world.electSteward();
      break;
    default:
      world.crash();
  }
}

describe.each([
  ['rejects outdated fencing tokens', true],
  ['ignores fencing tokens', false],
])('an engine that %s', (_name, fencing) => {
  test('loads no undecided replica and does not exceed its memory', () => {
    fc.assert(
      fc.property(moves, (steps) => {
        const world = new EngineWorld(fencing);
        steps.forEach((move) => play(world, move));
        expect({ undecided: world.undecidedLoads, overcommits: world.overcommits }).toEqual({
          undecided: 0,
          overcommits: 0,
        });
      }),
      { seed: 20261204, numRuns: 20_000 },
    );
  });

  test('converges to the decided replicas once calls stop failing', () => {
    const world = new EngineWorld(fencing);
    const settle = () => {
      Array.from({ length: 30 }).forEach(() => {
        world.tick(0);
        world.inventory(0);
        world.resolve(0, CallOutcome.done);
        world.advance(200);
      });
    };
    settle();
    world.load(0, 60);
    settle();
    world.electSteward();
    settle();
    expect([...world.held.values()].map(({ state }) => state)).toEqual(['loaded']);
    expect(world.loads).toBe(1);
  });

  test('keeps memory reserved while a late load order of an unloaded replica may arrive', () => {
    const world = new EngineWorld(fencing);
    const step = (outcome: CallOutcome) => {
      world.tick(0);
      world.inventory(0);
      world.resolve(0, outcome);
      world.advance(100);
    };
    const settle = (steps: number) => {
      Array.from({ length: steps }).forEach(() => step(CallOutcome.done));
    };
    settle(10);
    world.load(0, 60);
    world.resolve(0, CallOutcome.done);
    // The sender times out and sends the order again; the first copy arrives after the unload.
    world.resolve(0, CallOutcome.late);
    world.advance(1_100);
    settle(10);
    world.unload(0, 0);
    settle(20);
    world.load(0, 60);
    settle(20);
    world.deliverLate(0);
    settle(5);
    expect({ undecided: world.undecidedLoads, overcommits: world.overcommits }).toEqual({
      undecided: 0,
      overcommits: 0,
    });
  });
});
