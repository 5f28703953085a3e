/**
 * While one entry VM is cut off from the store and the others, servers of a newer software version
 * are added. Then another VM is killed, and its clients take their streams up at the first one.
 */
import * as path from 'node:path';
import { Client, type Outcome } from '../standins/client.js';
import { configOf, Deployment, sleep } from '../standins/deployment.js';
import { Engine, type EngineSpec } from '../standins/engine.js';
import { Recorder } from '../standins/record.js';

const STREAMS = 16;
/** Streams with events of two versions that ORDER allows. */
const ALLOWED = 2;
const STABLE_WINDOW_MS = 3_000;

const older: EngineSpec = {
  id: 'i-talk-1',
  service: 'talk',
  zone: 'a',
  slots: 32,
  workMs: 0,
  events: 150,
  models: [],
  version: 'v1',
};
const newer: EngineSpec = { ...older, id: 'i-talk-3', version: 'v2' };

/** Software versions of the servers whose events came. */
function versionsIn(text: string): readonly string[] {
  return [...text.matchAll(/^data: \S+ \d+ (\S+)$/gm)].map((match) => match[1] ?? '');
}

function lastEventIn(text: string): number {
  const whole = text.slice(0, text.lastIndexOf('\n\n') + 1);
  return Number([...whole.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0);
}

async function play(recorder: Recorder, deployment: Deployment): Promise<boolean> {
  const { vms, store } = deployment;
  const isTrouble = process.env.TROUBLE !== '0';
  const cut = vms.at(-1);
  const killed = vms.find((vm) => vm !== cut && vm.name !== store.leaseHolder());
  if (cut === undefined || killed === undefined) throw new Error('the deployment is not complete');
  await sleep(STABLE_WINDOW_MS);
  recorder.note('test', `the steward is ${store.leaseHolder()}`);

  if (isTrouble) {
    recorder.note(cut.name, 'is cut off from the store and the other entry VMs');
    [cut.link, ...deployment.peerLinks].forEach((link) => link.cut());
  }
  const added = [newer, { ...newer, id: 'i-talk-4' }].map(
    (spec) => new Engine(spec, store, recorder),
  );
  await Promise.all(added.map((engine) => engine.start()));
  deployment.engines.push(...added);
  await sleep(800);

  const clients = Array.from({ length: STREAMS }, () => new Client(recorder, killed.front));
  const request = (id: string) => ({ id, route: 'talk', deadlineMs: 12_000, model: null });
  const tries = clients.map((client, at) => client.send(request(`stream-${at}`)));
  await sleep(900);
  if (isTrouble) killed.signal('SIGKILL');
  const first = await Promise.all(tries);
  recorder.note(cut.name, (await cut.isReady()) ? 'says that it is ready' : 'is not ready');
  // Each client whose stream was broken off takes it up at another entry VM.
  const second = await Promise.all(
    first.map(async ({ id, text, isWhole }, at) => {
      const client = clients[at];
      if (client === undefined || isWhole) return null;
      client.moveTo(cut.front);
      const resumes = { id, lastEventId: lastEventIn(text) };
      return client.send({ ...request(`${id}-again`), resumes });
    }),
  );
  if (isTrouble) {
    [cut.link, ...deployment.peerLinks].forEach((link) => link.heal());
    recorder.note(cut.name, 'is connected again');
  }
  const textOf = (outcome: Outcome | null | undefined) =>
    outcome?.status === 200 ? outcome.text : '';
  const mixed = first.filter((outcome, at) => {
    const versions = [
      ...new Set([...versionsIn(textOf(outcome)), ...versionsIn(textOf(second[at]))]),
    ];
    recorder.note('test', `${outcome.id}: events of ${versions.join(' and ')}`);
    return versions.length > 1;
  });
  clients.forEach((client) => client.close());
  const resumed = second.filter((outcome) => outcome?.status === 200);
  recorder.note('test', `streams that went on at ${cut.name}: ${resumed.length}`);
  recorder.note('test', `streams with events of two versions: ${mixed.length}`);
  return mixed.length > ALLOWED;
}

async function main(): Promise<number> {
  const recorder = new Recorder(path.join(process.argv[2] ?? '.', 'record.txt'));
  const deployment = new Deployment(recorder, {
    zones: ['a', 'b', 'a', 'b'],
    engines: [older, { ...older, id: 'i-talk-2', zone: 'b' }],
    config: configOf([]),
    isLastLinked: true,
  });
  try {
    await deployment.start();
    const isBroken = await play(recorder, deployment);
    recorder.note('test', isBroken ? 'ORDER is broken' : 'ORDER held');
    return isBroken ? 1 : 0;
  } catch (err) {
    recorder.note('test', `the case couldn't run: ${String(err)}`);
    return 2;
  } finally {
    deployment.stop();
  }
}

void main().then((code) => process.exit(code));
