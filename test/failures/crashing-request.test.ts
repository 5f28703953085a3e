/** A request that ends the servers that run it, repeated by its caller while entry VMs fail. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { isKnownRed } from '../known-red.js';
import { CrashCell, type CrashCellOptions } from '../soak/crash-cell.js';
import { LATE_ALLOWED } from '../soak/engine.js';
import { StoreMood } from '../soak/store.js';
import type { SoakVm } from '../soak/vms.js';

const CELL: CrashCellOptions = { vms: 4, servers: 10, crash: {}, forMs: 13_000 };
/** Pause between two requests that are sound, ms. */
const SOUND_EACH_MS = 40;

async function restart(vm: SoakVm, signal: NodeJS.Signals): Promise<void> {
  await vm.end(signal);
  vm.start();
  await vm.untilReady();
}

interface Failure {
  readonly name: string;
  readonly cell: Partial<CrashCellOptions>;
  play(cell: CrashCell): Promise<unknown>;
}

const FAILURES: readonly Failure[] = [
  {
    name: 'while nothing else fails',
    cell: {},
    play: (cell) => cell.repeat(),
  },
  {
    name: 'whose servers fall silent before they end',
    cell: { crash: { silentMs: 1_500 } },
    play: (cell) => cell.repeat(),
  },
  {
    name: 'whose servers come back under their ids',
    cell: { crash: { keepsId: true, downMs: 1_000 } },
    play: (cell) => cell.repeat(),
  },
  {
    name: 'whose servers are back before the list shows that they ended',
    cell: { crash: { downMs: 300 } },
    play: (cell) => cell.repeat(),
  },
  {
    name: 'whose caller leaves before the server ends',
    cell: { crash: { afterMs: 600 } },
    play: (cell) => cell.repeat({ leaveAfterMs: 100 }),
  },
  {
    name: 'when all entry VMs are killed before the list shows what ended',
    cell: {},
    play: (cell) =>
      Promise.all([
        cell.repeat(),
        cell
          .untilAfterFirstEnd(2_500)
          .then(() => Promise.all(cell.vms.map((vm) => restart(vm, 'SIGKILL')))),
      ]),
  },
  {
    name: 'when all entry VMs are killed after the list has shown it',
    cell: {},
    play: (cell) =>
      Promise.all([
        cell.repeat(),
        cell
          .untilAfterFirstEnd(6_000)
          .then(() => Promise.all(cell.vms.map((vm) => restart(vm, 'SIGKILL')))),
      ]),
  },
  {
    name: 'while entry VMs are stopped and started in turn',
    cell: { forMs: 16_000 },
    play: (cell) =>
      Promise.all([
        cell.repeat(),
        cell
          .untilAfterFirstEnd(1_500)
          .then(() =>
            cell.vms.reduce(
              (before, vm) => before.then(() => restart(vm, 'SIGTERM')),
              Promise.resolve(),
            ),
          ),
      ]),
  },
  {
    name: 'while the store is silent',
    cell: { forMs: 18_000 },
    play: (cell) =>
      Promise.all([
        cell.repeat(),
        cell.untilAfterFirstEnd(0).then(async () => {
          Object.assign(cell.store, { mood: StoreMood.silent });
          await clocks.sleep(10_000);
          Object.assign(cell.store, { mood: StoreMood.well });
        }),
      ]),
  },
  {
    name: 'while no entry VM can be steward',
    cell: {},
    play: (cell) => {
      cell.store.refuse('bilberrystand/steward');
      return Promise.all([
        cell.repeat(),
        cell.untilAfterFirstEnd(4_000).then(() => restart(cell.vms[0] as SoakVm, 'SIGKILL')),
      ]);
    },
  },
  {
    name: 'that is a stream which may be resumed',
    cell: {},
    play: (cell) => cell.repeat({ route: 'stream' }),
  },
  {
    name: 'that may run only once',
    cell: {},
    play: (cell) => cell.repeat({ route: 'order' }),
  },
];

describe.concurrent('a request that ends its servers', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-crashing-'));
  const program = path.join(folder, 'bilberrystand.cjs');

  beforeAll(() => bundle(program));

  afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

  FAILURES.forEach(({ name, cell: opts, play }) => {
    const title = `a request that ends its servers is not sent on, ${name}`;
    test.skipIf(isKnownRed(title))(title, async () => {
      const cell = await CrashCell.start(program, { ...CELL, ...opts });
      try {
        await play(cell);
        expect(cell.ledger.ends.length).toBeGreaterThanOrEqual(2);
        expect(cell.lateArrivals()).toBeLessThanOrEqual(LATE_ALLOWED);
      } finally {
        await cell.stop();
      }
    });
  });

  const severalTitle = 'several requests that end their servers are each not sent on';
  test.skipIf(isKnownRed(severalTitle))(severalTitle, async () => {
    const names = ['one', 'two', 'three'];
    const cell = await CrashCell.start(program, { ...CELL, servers: 14 });
    try {
      await Promise.all(names.map((name) => cell.repeat({ crash: name, body: name })));
      expect(names.filter((name) => cell.lateArrivals(name) > LATE_ALLOWED)).toEqual([]);
    } finally {
      await cell.stop();
    }
  });

  const neighbourTitle = 'neighbours of a request that ends its servers go on being served';
  test.skipIf(isKnownRed(neighbourTitle))(neighbourTitle, async () => {
    const cell = await CrashCell.start(program, CELL);
    try {
      const [, neighbours] = await Promise.all([
        cell.repeat(),
        cell.sendEach(SOUND_EACH_MS, { body: 'neighbour #' }),
      ]);
      const last = neighbours.slice(-100);
      expect(last.filter((status) => status === 200).length).toBe(last.length);
      expect(cell.lateArrivals()).toBeLessThanOrEqual(LATE_ALLOWED);
    } finally {
      await cell.stop();
    }
  });

  const twinTitle = 'a sound request of the same path, customer and body goes on being served';
  test.skipIf(isKnownRed(twinTitle))(twinTitle, async () => {
    const cell = await CrashCell.start(program, CELL);
    try {
      const [, twins] = await Promise.all([
        cell.repeat({ body: 'the same' }),
        cell.sendEach(SOUND_EACH_MS, { body: 'the same' }),
      ]);
      const last = twins.slice(-100);
      expect(last.filter((status) => status === 200).length).toBe(last.length);
      expect(cell.lateArrivals()).toBeLessThanOrEqual(LATE_ALLOWED);
    } finally {
      await cell.stop();
    }
  });
});
