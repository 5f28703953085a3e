/** What happens to a process while it starts, over real processes: none of it may end the process. */
import { type ChildProcess, spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { SoakStore } from '../soak/store.js';
import { SoakVm } from '../soak/vms.js';

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-start-'));
const program = path.join(folder, 'bilberrystand.cjs');
const PLAN = { version: 1, routes: [], services: [], tenants: [] };
const POLL_MS = 5;
const settings = path.join(folder, 'vm.toml');

let store: SoakStore;
let vm: SoakVm;
let settingsText = '';
let child: ChildProcess | null = null;

/** Starts the program with its output in `out`; `exits` collects how it ended. */
function start(out: string): string[] {
  const exits: string[] = [];
  const fd = fs.openSync(out, 'a');
  child = spawn(process.execPath, [program, 'serve', '--settings', settings], {
    stdio: ['ignore', fd, 'inherit'],
  });
  fs.closeSync(fd);
  child.once('exit', (code, signal) => exits.push(`${code} ${signal}`));
  return exits;
}

/** Resolves once the process handles SIGHUP (signal 1), as its status in /proc tells. */
async function untilHandlesSignals(): Promise<void> {
  const handlesHangUp = () => {
    const status = fs.readFileSync(`/proc/${child?.pid}/status`, 'utf8');
    // A bit mask in hexadecimal, in which the lowest bit is for signal 1.
    const caught = /^SigCgt:\s+([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    return /[13579bdf]$/.test(caught);
  };
  while (!handlesHangUp()) await clocks.sleep(POLL_MS);
}

/** Resolves once the log contains `text`; rejects if the process ends before. */
async function untilLogged(log: string, text: string, exits: readonly string[]): Promise<void> {
  while (!fs.readFileSync(log, 'utf8').includes(text)) {
    if (exits.length > 0) throw new Error(`the process ended: ${exits.join()}`);
    await clocks.sleep(POLL_MS);
  }
}

beforeAll(async () => {
  await bundle(program);
  store = new SoakStore();
  vm = await SoakVm.create('vm', 'a', await store.start(), program, folder);
  store.put('config', 'main', PLAN);
  settingsText = fs.readFileSync(settings, 'utf8');
});

afterEach(() => {
  child?.kill('SIGKILL');
  fs.writeFileSync(settings, settingsText);
});

afterAll(() => {
  store.stop();
  fs.rmSync(folder, { recursive: true, force: true });
});

describe('a process that starts', () => {
  // The handlers were once installed when the start was complete, some hundred milliseconds later.
  test('handles signals before it has loaded the program, and becomes ready', async () => {
    const log = path.join(folder, 'signals.log');
    const exits = start(log);
    await untilHandlesSignals();
    expect(fs.readFileSync(log, 'utf8')).not.toContain('"event":"started"');
    child?.kill('SIGHUP');
    await vm.waitUntilReady();
    expect(exits).toEqual([]);
    expect(fs.readFileSync(log, 'utf8')).toContain('"event":"settings-signal"');
  });

  test('becomes ready although its log lines can not be written', async () => {
    const exits = start('/dev/full');
    await vm.waitUntilReady();
    expect(exits).toEqual([]);
  });

  // It once exited, and so did each process that was started while the file was being written.
  test('waits for a settings file that is missing, and then half written', async () => {
    fs.rmSync(settings);
    const log = path.join(folder, 'late-settings.log');
    const exits = start(log);
    await untilLogged(log, 'ENOENT', exits);
    fs.writeFileSync(settings, '[vm]\nid = "v');
    await untilLogged(log, 'unfinished string', exits);
    fs.writeFileSync(settings, settingsText);
    await vm.waitUntilReady();
    expect(exits).toEqual([]);
  });

  test('ends by SIGTERM while it waits for its settings file', async () => {
    fs.rmSync(settings);
    const log = path.join(folder, 'no-settings.log');
    const exits = start(log);
    await untilLogged(log, 'settings-awaited', exits);
    child?.kill('SIGTERM');
    while (exits.length === 0) await clocks.sleep(POLL_MS);
    expect(exits).toEqual(['0 null']);
  });
});
