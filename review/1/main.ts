/**
 * A model engine spoils one answer: its status line holds a control character, so that it is no
 * answer in the protocol. Meanwhile, requests of other clients run at sound servers.
 */
import type { Socket } from 'node:net';
import * as path from 'node:path';
import { Client, type Outcome } from '../standins/client.js';
import { configOf, Deployment, sleep } from '../standins/deployment.js';
import type { EngineSpec } from '../standins/engine.js';
import { Recorder } from '../standins/record.js';

const MODEL = 'm0';
/** Orders in progress at the first entry VM when the answer is spoiled. */
const ORDERS = 8;
/** Clients of each entry VM, and streams of each client, before the spoiled answer. */
const CLIENTS_PER_VM = 6;
const STREAMS_PER_CLIENT = 16;
/** Sound answers of the engine before the spoiled one: with x = 0.03, one answer in 34 is spoiled. */
const SOUND_ANSWERS = 40;
/** Kept connections that LOST allows to be closed without an answer. */
const ALLOWED = 3;
const STABLE_WINDOW_MS = 3_000;

const plain: EngineSpec = {
  id: 'i-desk-1',
  service: 'desk',
  zone: 'a',
  slots: 12,
  workMs: 450,
  events: 0,
  models: [],
};
const writer: EngineSpec = {
  ...plain,
  id: 'i-writer-1',
  service: 'writer',
  slots: 64,
  events: 8,
  models: [MODEL],
};

/** Sends the head of a stream whose status line is spoiled, and its first event. */
function spoil(socket: Socket, id: string): void {
  const event = `id: 1\ndata: ${id} 1\n\n`;
  const head = [
    'HTTP/1.1 200 O\x01K',
    `Attempt-Id: ${id}`,
    `Response-Seal: seal ${id}`,
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
}

async function play(recorder: Recorder, deployment: Deployment): Promise<boolean> {
  const [first, second] = deployment.vms;
  const engines = deployment.engines.filter(({ spec }) => spec.models.length > 0);
  if (first === undefined || second === undefined) throw new Error('no entry VM');
  const streamer = new Client(recorder, first.front);
  const stream = (id: string, client = streamer) =>
    client.send({ id, route: 'draft', deadlineMs: 12_000, model: MODEL });
  const others = deployment.vms.flatMap(({ front }) =>
    Array.from({ length: CLIENTS_PER_VM }, () => new Client(recorder, front)),
  );
  const owners = Array.from({ length: ORDERS }, () => new Client(recorder, first.front));
  const order = (name: string) =>
    owners.map((client, at) =>
      client.send({ id: `${name}-${at}`, route: 'order', deadlineMs: 4_000, model: null }),
    );

  await sleep(STABLE_WINDOW_MS);
  // Sound traffic: streams by both entry VMs, and one order on each connection that is kept.
  await Promise.all(
    others.map(async (client, at) => {
      for (let turn = 0; turn < STREAMS_PER_CLIENT; turn += 1)
        await stream(`s-${at}-${turn}`, client);
    }),
  );
  const before = await Promise.all(order('early'));
  if (before.some(({ status }) => status !== 200)) throw new Error('sound orders failed');

  const answered = engines.map(({ spec, begun }) => `${spec.id} ${begun.size}`).join(', ');
  recorder.note('test', `streams that ran so far: ${answered}`);
  let isSpoiled = process.env.TROUBLE === '0';
  engines.forEach((engine) => {
    Object.assign(engine, {
      fault: (_: unknown, socket: Socket, id: string) => {
        if (isSpoiled || engine.begun.size <= SOUND_ANSWERS) return false;
        isSpoiled = true;
        recorder.note(engine.spec.id, `answers ${id} with bytes that are no answer`);
        spoil(socket, id);
        return true;
      },
    });
  });
  const pending = order('late');
  await sleep(150);
  const result = await stream('spoiled');
  const outcomes = await Promise.all(pending);
  await sleep(1_500);
  // The client of the stream retries once, at another entry VM.
  if (!result.isWhole) {
    streamer.moveTo(second.front);
    await stream('spoiled-again');
  }

  const desk = deployment.engines.find(({ spec }) => spec.service === 'desk');
  const isLost = ({ id, status }: Outcome) => status === null && desk?.begun.has(id) === true;
  const lost = outcomes.filter(isLost).map(({ id }) => id);
  const ends = deployment.vms.map(({ name, ends: count }) => `${name} ${count}`).join(', ');
  recorder.note('test', `processes that ended by themselves: ${ends}`);
  recorder.note('test', `orders passed on and closed without an answer: ${lost.length}`);
  [streamer, ...others, ...owners].forEach((client) => client.close());
  return lost.length > ALLOWED;
}

async function main(): Promise<number> {
  const recorder = new Recorder(path.join(process.argv[2] ?? '.', 'record.txt'));
  const deployment = new Deployment(recorder, {
    zones: ['a', 'b'],
    engines: [plain, writer, { ...writer, id: 'i-writer-2', zone: 'b' }],
    config: configOf([MODEL]),
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
