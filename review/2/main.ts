/**
 * Servers answer updates with 204, which has no body. One of them is taken away as planned.
 * Meanwhile, requests of other clients run at another one.
 */
import * as path from 'node:path';
import { Client, type Outcome } from '../standins/client.js';
import { configOf, Deployment, type EntryVm, sleep } from '../standins/deployment.js';
import type { EngineSpec } from '../standins/engine.js';
import { Recorder } from '../standins/record.js';

/** Clients of each entry VM that send updates, and that place orders. */
const CLIENTS_PER_VM = 4;
const UPDATES_PER_CLIENT = 10;
/** One of them leaves: a share of 0.143. */
const SERVERS = 7;
const DRAIN_MS = 2_000;
/** Time for which the server serves on after `DRAIN_MS`, ms. */
const LINGER_MS = 1_000;
/** Kept connections that LOST allows to be closed without an answer. */
const ALLOWED = 3;
const STABLE_WINDOW_MS = 3_000;

const desk: EngineSpec = {
  id: 'i-desk-1',
  service: 'desk',
  zone: 'a',
  slots: 6,
  workMs: 250,
  events: 0,
  models: [],
};

async function play(recorder: Recorder, deployment: Deployment): Promise<boolean> {
  const { vms, engines } = deployment;
  const [leaving, ...staying] = engines;
  if (leaving === undefined) throw new Error('there is no server');
  const runsElsewhere = (id: string) => staying.some(({ begun }) => begun.has(id));
  const clients: Client[] = [];
  const clientsOf = (vm: EntryVm) =>
    Array.from({ length: CLIENTS_PER_VM }, () => {
      const client = new Client(recorder, vm.front);
      clients.push(client);
      return client;
    });
  await sleep(STABLE_WINDOW_MS);

  // Updates: each server answers some of them for each entry VM.
  const outcomes = await Promise.all(
    vms.flatMap(clientsOf).map(async (client, at) => {
      const results: Outcome[] = [];
      for (let turn = 0; turn < UPDATES_PER_CLIENT; turn += 1) {
        const id = `update-${at}-${turn}`;
        const request = { id, route: 'stock', deadlineMs: 4_000, model: null, method: 'PUT' };
        results.push(await client.send(request));
      }
      return results;
    }),
  );
  if (outcomes.flat().some(({ status }) => status !== 204)) throw new Error('updates failed');

  // Orders, one after the other on each connection.
  let isOver = false;
  const lost: Outcome[] = [];
  const placeOrders = async (client: Client, owner: number) => {
    for (let turn = 0; !isOver; turn += 1) {
      const id = `order-${owner}-${turn}`;
      const outcome = await client.send({ id, route: 'order', deadlineMs: 4_000, model: null });
      if (outcome.status === null) {
        // Only a connection that had served a request before counts as kept.
        if (turn > 0 && runsElsewhere(id)) lost.push(outcome);
        return;
      }
    }
  };
  const orders = vms.flatMap(clientsOf).map(placeOrders);
  await sleep(500);

  if (process.env.TROUBLE !== '0') leaving.drain();
  await sleep(DRAIN_MS + LINGER_MS);
  if (process.env.TROUBLE !== '0') leaving.exit();
  await sleep(1_500);
  isOver = true;
  await Promise.race([Promise.all(orders), sleep(5_000)]);
  clients.forEach((client) => client.close());

  const ends = vms.map(({ name, ends: count }) => `${name} ${count}`).join(', ');
  recorder.note('test', `processes that ended by themselves: ${ends}`);
  recorder.note('test', `orders passed on and closed without an answer: ${lost.length}`);
  return lost.length > ALLOWED;
}

async function main(): Promise<number> {
  const recorder = new Recorder(path.join(process.argv[2] ?? '.', 'record.txt'));
  const deployment = new Deployment(recorder, {
    zones: ['a', 'b', 'c'],
    engines: Array.from({ length: SERVERS }, (_, at) => ({
      ...desk,
      id: `i-desk-${at + 1}`,
      zone: ['a', 'b', 'c'][at % 3] ?? 'a',
    })),
    config: configOf([]),
  });
  try {
    await deployment.start();
    const isBroken = await play(recorder, deployment);
    recorder.note('test', isBroken ? 'LOST is broken' : 'LOST held');
    return isBroken ? 1 : 0;
  } catch (err) {
    recorder.note('test', `the case couldn't run: ${String(err)}`);
    return 2;
  } finally {
    deployment.stop();
  }
}

void main().then((code) => process.exit(code));
