/** Streams while the servers of a service run two software versions, over real processes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest';
import * as undici from 'undici';
import * as clocks from '../../src/core/clock/index.js';
import { bundle } from '../../src/lab/fleet/bundle.js';
import { KEY } from '../soak/callers.js';
import { STREAM_EVENTS } from '../soak/engine.js';
import { RelayFleet, type RelayFleetOptions } from '../soak/relay-fleet.js';
import type { SoakVm } from '../soak/vms.js';

const STREAMS = 24;
/** So few that their servers are not overloaded, which would load their model elsewhere. */
const FEW_STREAMS = 16;
const DEADLINE_MS = 6_000;
/** Streams take about two seconds, so that they can be interrupted. */
const SLOWDOWN = 20;
/** Time after the first events in which the VMs tell each other of the streams and store them. */
const SHARED_MS = 1_000;
const BEGIN_TIMEOUT_MS = 5_000;
/** Time between the starts of streams that begin just before all VMs are killed. */
const START_INTERVAL_MS = 12;
/** Time from the first event of these streams to the kill. */
const KILLED_AFTER_MS = 400;
/** Pause of a caller between two attempts to take its stream up. */
const RETRY_MS = 300;
/** Servers of a new version that join. */
const JOINING = 8;
/** Time in which servers that have joined are known to the VMs. */
const JOIN_MS = 1_600;

/** What the caller of a stream has received. */
interface Received {
  readonly id: string;
  readonly status: number | null;
  /** Software versions of the events, in order. */
  readonly versions: readonly string[];
  /** Id of the attempt that brought the first event; null before it. */
  readonly begunBy: string | null;
  readonly isWhole: boolean;
}

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-versions-'));
const program = path.join(folder, 'bilberrystand.cjs');
const agent = new undici.Agent({ connections: 64, pipelining: 1 });
let attempts = 0;
/** Streams of the current test of which an event has arrived. */
let begun = 0;

async function startFleet(
  versions: readonly string[] = ['v1', 'v1', 'v2', 'v2'],
  opts: Partial<RelayFleetOptions> = {},
): Promise<RelayFleet> {
  const fleet = await RelayFleet.start(program, {
    vms: 3,
    servers: 8,
    crash: {},
    models: ['m0'],
    // By default, both versions in both data centres.
    versions,
    durationMs: 1,
    ...opts,
  });
  await fleet.waitUntilConnected();
  begun = 0;
  fleet.engines.forEach((engine) => engine.slowDown(60_000, SLOWDOWN));
  return fleet;
}

/** Sends a stream, or takes up an interrupted one; resolves with all that its caller then has. */
async function stream(vm: SoakVm, before?: Received): Promise<Received> {
  attempts += 1;
  const id = `v${attempts}`;
  const received = before?.versions ?? [];
  let text = '';
  let status: number | null = null;
  let isWhole = false;
  try {
    const res = await undici.request(`http://${vm.callers}/stream/x`, {
      dispatcher: agent,
      method: 'POST',
      headers: {
        host: 'soak.example',
        'attempt-id': id,
        authorization: `Bearer ${KEY}`,
        'deadline-ms': String(DEADLINE_MS),
        model: 'm0',
        'token-count': '20,20',
        ...(received.length === 0 ? {} : { 'last-event-id': String(received.length) }),
        ...(before?.begunBy == null ? {} : { resumes: before.begunBy }),
      },
      body: 'stream',
    });
    status = res.statusCode;
    res.body.setEncoding('utf8');
    for await (const part of res.body) {
      if (text === '') begun += 1;
      text += String(part);
    }
    isWhole = status === 200;
  } catch {
    // The stream was interrupted.
  }
  const events = [...text.matchAll(/^data: \S+ \d+ (\S+)\n\n/gm)].map(
    ([, version = '']) => version,
  );
  const versions = [...received, ...(status === 200 ? events : [])];
  const begunBy = before?.begunBy ?? (versions.length > 0 ? id : null);
  return { id, status, versions, begunBy, isWhole: isWhole && versions.length === STREAM_EVENTS };
}

/** Resolves once `count` streams have begun, by default half of them. */
async function hasBegun(count = STREAMS / 2): Promise<void> {
  const untilMs = performance.now() + BEGIN_TIMEOUT_MS;
  while (begun < count && performance.now() < untilMs) await clocks.sleep(10);
}

/** Resolves once half of the streams have begun and the VMs have shared them. */
async function midStream(): Promise<void> {
  await hasBegun();
  await clocks.sleep(SHARED_MS);
}

function joinedFromTwo(streams: readonly Received[]): readonly Received[] {
  return streams.filter(({ versions }) => new Set(versions).size > 1);
}

/** Takes interrupted streams up at VMs in turn, as their callers do: at most three times. */
async function takeUp(vms: readonly SoakVm[], interrupted: readonly Received[]) {
  return Promise.all(
    interrupted.map(async (received, at) => {
      let last = received;
      for (let tries = 0; tries < 3 && !last.isWhole; tries += 1) {
        last = await stream(vms[(at + tries) % vms.length] as SoakVm, last);
        if (!last.isWhole) await clocks.sleep(300);
      }
      return last;
    }),
  );
}

/** Takes an interrupted stream up at VMs in turn until its caller's deadline. */
async function takeUpUntilDeadline(vms: readonly SoakVm[], interrupted: Received, at: number) {
  const untilMs = performance.now() + DEADLINE_MS;
  let last = interrupted;
  for (let tries = at; performance.now() < untilMs && !last.isWhole; tries += 1) {
    last = await stream(vms[tries % vms.length] as SoakVm, last);
    if (!last.isWhole) await clocks.sleep(RETRY_MS);
  }
  return last;
}

/**
 * Begins streams at the `serving` VMs, kills all VMs shortly after, and expects that of the streams at
 * least half as many go on as of new ones begin, each at its version.
 */
async function expectTakenUpAfterLoss({ vms }: RelayFleet, serving: readonly SoakVm[]) {
  const streams = Array.from({ length: STREAMS }, async (_, at) => {
    await clocks.sleep(at * START_INTERVAL_MS);
    return stream(serving[at % serving.length] as SoakVm);
  });
  await hasBegun(1);
  await clocks.sleep(KILLED_AFTER_MS);
  // On a busy machine, it takes longer until there are streams to interrupt.
  await hasBegun();
  await Promise.all(serving.map((vm) => vm.terminate('SIGKILL')));
  const interrupted = (await Promise.all(streams)).filter(
    ({ versions, isWhole }) => versions.length > 0 && !isWhole,
  );
  expect(interrupted.length).toBeGreaterThanOrEqual(STREAMS / 2);
  vms.forEach((vm) => vm.start());
  await Promise.all(vms.map((vm) => vm.waitUntilReady()));
  const started = Array.from({ length: STREAMS / 2 }, (_, at) =>
    stream(vms[at % vms.length] as SoakVm),
  );
  const received = await Promise.all(
    interrupted.map((before, at) => takeUpUntilDeadline(vms, before, at)),
  );
  expect(joinedFromTwo(received)).toEqual([]);
  const newBegun = (await Promise.all(started)).filter(({ versions }) => versions.length > 0);
  const newShare = newBegun.length / started.length;
  const goneOn = received.filter(({ isWhole }) => isWhole).length;
  expect(goneOn).toBeGreaterThanOrEqual((interrupted.length * newShare) / 2);
}

beforeAll(() => bundle(program));

let fleet: RelayFleet | null = null;

afterEach(async () => {
  await fleet?.stop();
  fleet = null;
});

afterAll(async () => {
  await agent.destroy();
  fs.rmSync(folder, { recursive: true, force: true });
});

describe('a stream that breaks off while servers of two versions serve', () => {
  test('goes on at a server of its version after its server has crashed', async () => {
    fleet = await startFleet();
    const { vms, engines } = fleet;
    const streams = Array.from({ length: STREAMS }, (_, at) =>
      stream(vms[at % vms.length] as SoakVm),
    );
    await midStream();
    engines.slice(0, 2).forEach((engine) => engine.retire());
    const received = await Promise.all(streams);
    expect(joinedFromTwo(received)).toEqual([]);
    expect(received.filter(({ isWhole }) => isWhole).length).toBeGreaterThanOrEqual(STREAMS / 2);
  });

  test('is taken up at a server of its version after its VM was killed', async () => {
    fleet = await startFleet();
    const { vms } = fleet;
    const streams = Array.from({ length: STREAMS }, () => stream(vms[0] as SoakVm));
    await midStream();
    await vms[0]?.terminate('SIGKILL');
    const interrupted = (await Promise.all(streams)).filter(({ versions }) => versions.length > 0);
    expect(interrupted.length).toBeGreaterThanOrEqual(STREAMS / 2);
    const received = await takeUp(vms.slice(1), interrupted);
    expect(joinedFromTwo(received)).toEqual([]);
    const whole = received.filter(({ isWhole }) => isWhole).length;
    expect(whole).toBeGreaterThanOrEqual(interrupted.length / 2);
  });

  test('is taken up at a server of its version after all VMs were killed', async () => {
    fleet = await startFleet();
    const { vms } = fleet;
    // As in steady state, the streams began at different times before the kill.
    const streams = Array.from({ length: STREAMS }, async (_, at) => {
      await clocks.sleep(at * 25);
      return stream(vms[at % vms.length] as SoakVm);
    });
    await midStream();
    await Promise.all(vms.map((vm) => vm.terminate('SIGKILL')));
    const interrupted = (await Promise.all(streams)).filter(
      ({ versions, isWhole }) => versions.length > 0 && !isWhole,
    );
    vms.forEach((vm) => vm.start());
    await Promise.all(vms.map((vm) => vm.waitUntilReady()));
    expect(interrupted.length).toBeGreaterThanOrEqual(STREAMS / 4);
    const received = await takeUp(vms, interrupted);
    expect(joinedFromTwo(received)).toEqual([]);
    const whole = received.filter(({ isWhole }) => isWhole).length;
    expect(whole).toBeGreaterThanOrEqual(interrupted.length / 2);
  });

  // Its take-ups were refused as long as servers of the other version had its model loaded.
  test('goes on although only servers of the other version still have its model loaded', async () => {
    const versions = ['v1', 'v1', 'v2', 'v1', 'v2', 'v1', 'v2', 'v1'];
    // Every other server has m0, among them one of v1; the others must unload m1 to load it.
    fleet = await startFleet(versions, { models: ['m0', 'm1'], roomModels: 1 });
    const { vms, engines } = fleet;
    const streams = Array.from({ length: FEW_STREAMS }, (_, at) =>
      stream(vms[at % vms.length] as SoakVm),
    );
    await hasBegun(FEW_STREAMS);
    await clocks.sleep(SHARED_MS);
    engines[0]?.retire();
    const received = await takeUp(vms, await Promise.all(streams));
    const ofLostServer = received.filter((each) => each.versions[0] === 'v1');
    expect(joinedFromTwo(received)).toEqual([]);
    expect(ofLostServer.length).toBeGreaterThan(0);
    expect(ofLostServer.filter(({ isWhole }) => isWhole).length).toBeGreaterThanOrEqual(
      ofLostServer.length / 2,
    );
  });

  // Streams of the last half second were recorded nowhere, and refused until their deadline.
  test('is taken up at a server of its version if all VMs are killed 0.4 s after the first event', async () => {
    fleet = await startFleet();
    await expectTakenUpAfterLoss(fleet, fleet.vms);
  });

  // Before the next steward, VMs stored the versions of their streams nowhere.
  test('is taken up at a server of its version if all VMs are killed just after their steward', async () => {
    fleet = await startFleet();
    const { vms, store } = fleet;
    const steward = vms.find(({ name }) => name === store.leaseHolder()) as SoakVm;
    await steward.terminate('SIGKILL');
    await expectTakenUpAfterLoss(
      fleet,
      vms.filter((vm) => vm !== steward),
    );
  });

  // A VM that is out of step once resumed streams of a version that it had not heard of at its own.
  test('is not taken up at another version by a VM that stood still as its version joined', async () => {
    fleet = await startFleet(['v1']);
    const { vms, engines, store } = fleet;
    const steward = vms.find(({ name }) => name === store.leaseHolder()) as SoakVm;
    const [serving, frozen] = vms.filter((vm) => vm !== steward) as [SoakVm, SoakVm];
    frozen.signal('SIGSTOP');
    // Otherwise, the steward's messages would wait at the VM that stands still.
    await steward.terminate('SIGKILL');
    for (let at = 0; at < JOINING; at += 1) await fleet.joinServer('v2');
    await clocks.sleep(JOIN_MS);
    engines.forEach((engine) => engine.slowDown(60_000, SLOWDOWN));
    const streams = Array.from({ length: STREAMS }, () => stream(serving));
    await hasBegun();
    await serving.terminate('SIGKILL');
    const interrupted = (await Promise.all(streams)).filter(({ versions }) => versions.length > 0);
    const ofNewVersion = interrupted.filter(({ versions }) => versions.includes('v2'));
    expect(ofNewVersion.length).toBeGreaterThanOrEqual(STREAMS / 6);
    frozen.signal('SIGCONT');
    const received = await Promise.all(interrupted.map((before) => stream(frozen, before)));
    expect(joinedFromTwo(received)).toEqual([]);
  });
});
