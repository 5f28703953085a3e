/**
 * The steward has been cut off from the store for some seconds. When it is back, a server is taken
 * away that never reports that it drains, and then the steward's process is killed.
 */
import * as path from 'node:path';
import { Client } from '../standins/client.js';
import { configOf, Deployment, type EntryVm, sleep } from '../standins/deployment.js';
import type { EngineSpec } from '../standins/engine.js';
import { Recorder } from '../standins/record.js';

const CLIENTS_PER_VM = 4;
const CUT_MS = 4_000;
/** Times after the steward's first call to the store that gets through, ms. */
const REMOVED_AFTER_MS = 1_100;
const KILLED_AFTER_MS = 2_100;
/** Time for which the server serves on after its entry was removed, ms. */
const LINGER_MS = 8_000;
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;

const desk: EngineSpec = {
  id: 'i-desk-1',
  service: 'desk',
  zone: 'a',
  slots: 6,
  workMs: 60,
  events: 0,
  models: [],
};

async function play(recorder: Recorder, deployment: Deployment): Promise<boolean> {
  const { vms, engines, store } = deployment;
  const isTrouble = process.env.TROUBLE !== '0';
  const leaving = engines.find(({ spec }) => spec.id === 'i-desk-3');
  await sleep(STABLE_WINDOW_MS);
  const steward = vms.find(({ name }) => name === store.leaseHolder());
  if (steward === undefined || leaving === undefined) throw new Error('there is no steward');
  recorder.note('test', `the steward is ${steward.name}`);

  // Lookups by the other entry VMs, which stay undisturbed all the while.
  let isOver = false;
  const look = async (vm: EntryVm, number: number) => {
    const client = new Client(recorder, vm.front);
    for (let turn = 0; !isOver; turn += 1) {
      const id = `${vm.name}-${number}-${turn}`;
      await client.send({ id, route: 'stock', deadlineMs: 4_000, model: null });
    }
    client.close();
  };
  const calm = vms.filter((vm) => vm !== steward);
  const lookups = calm.flatMap((vm) =>
    Array.from({ length: CLIENTS_PER_VM }, (_, number) => look(vm, number)),
  );
  await sleep(1_000);

  if (isTrouble) {
    recorder.note(steward.name, 'is cut off from the store');
    steward.link.cut();
    await sleep(CUT_MS);
    recorder.note(steward.name, `reaches the store again; the lease is ${store.leaseHolder()}'s`);
    const isBack = new Promise<void>((resolve) => {
      steward.link.onSent = (bytes) => {
        if (bytes.includes('GET /v1/objects/servers')) resolve();
      };
    });
    steward.link.heal();
    await isBack;
    recorder.note(steward.name, 'calls the store again');
  }
  await sleep(REMOVED_AFTER_MS);
  leaving.removeEntry();
  await sleep(KILLED_AFTER_MS - REMOVED_AFTER_MS);
  if (isTrouble) steward.signal('SIGKILL');
  await sleep(LINGER_MS - (KILLED_AFTER_MS - REMOVED_AFTER_MS));
  isOver = true;
  leaving.stop();
  recorder.note(leaving.spec.id, 'has ended');
  await Promise.race([Promise.all(lookups), sleep(5_000)]);

  const late = leaving.arrivedAfterRemoval.filter(({ afterMs }) => afterMs > DRAIN_MS);
  const last = late.at(-1);
  recorder.note('test', `the steward is ${store.leaseHolder()}`);
  recorder.note(
    'test',
    `requests that reached ${leaving.spec.id} over ${DRAIN_MS} ms after the removal: ${late.length}`,
  );
  if (last !== undefined) {
    recorder.note('test', `the last one ${last.afterMs.toFixed(0)} ms after: ${last.id}`);
  }
  return late.length > 0;
}

async function main(): Promise<number> {
  const recorder = new Recorder(path.join(process.argv[2] ?? '.', 'record.txt'));
  const deployment = new Deployment(recorder, {
    zones: ['a', 'b', 'c'],
    engines: [desk, { ...desk, id: 'i-desk-2', zone: 'b' }, { ...desk, id: 'i-desk-3', zone: 'c' }],
    config: configOf([]),
  });
  try {
    await deployment.start();
    const isBroken = await play(recorder, deployment);
    recorder.note('test', isBroken ? 'DRAIN is broken' : 'DRAIN held');
    return isBroken ? 1 : 0;
  } catch (err) {
    recorder.note('test', `the case couldn't run: ${String(err)}`);
    return 2;
  } finally {
    deployment.stop();
  }
}

void main().then((code) => process.exit(code));
