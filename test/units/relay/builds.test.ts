/** Messages and stored records of the builds in production, which run beside this one in an upgrade. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';
import { afterEach, describe, expect, test } from 'vitest';
import { z } from 'zod';
import * as platform from '../../../platform/index.js';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger, type Logger } from '../../../src/core/logger/index.js';
import * as frames from '../../../src/core/messages/index.js';
import { leaseSchema } from '../../../src/decisions/leases/index.js';
import type { AgedIncident } from '../../../src/decisions/suspects/index.js';
import { IncidentRecordTask } from '../../../src/entry/relay/incident-record.js';
import {
  EARLIEST_TYPES,
  OWN_TYPES,
  understoodTypes,
} from '../../../src/entry/relay/known-types.js';
import { MessageLink, readMessages } from '../../../src/entry/relay/message-link.js';
import {
  type RelayMessage,
  relayMessageSchema,
  RelayMessageType,
} from '../../../src/entry/relay/messages.js';
import { StreamRecordTask } from '../../../src/entry/relay/stream-record.js';
import { StreamVersionsTask } from '../../../src/entry/relay/stream-versions.js';
import { samples } from '../../fixtures/builds/samples.js';
import { SoakStore } from '../../soak/store.js';

const BUILDS = ['2aa2796', '518239b', '6152b17'] as const;
const FOLDER = path.join(import.meta.dirname, '../../fixtures/builds');
const WAIT_MS = 5_000;

const fixtureSchema = z.object({
  types: z.array(z.string()),
  messages: z.record(z.string(), z.string()),
  records: z.record(z.string(), z.unknown()),
  schema: z.record(z.string(), z.unknown()),
});
type Fixture = z.infer<typeof fixtureSchema>;

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

function fixtureOf(build: string): Fixture {
  const text = fs.readFileSync(path.join(FOLDER, `${build}.json`), 'utf8');
  return fixtureSchema.parse(JSON.parse(text));
}

function bytesOf({ messages }: Fixture, type: string): Buffer {
  return Buffer.from(messages[type] ?? '', 'base64');
}

function decode(bytes: Buffer): RelayMessage | null {
  return frames
    .decodeBody(relayMessageSchema, bytes.subarray(frames.LENGTH_BYTES), 'vm-1')
    .unwrapOr(null as unknown as RelayMessage);
}

/** The types that a VM of the build is taken to understand after its first message. */
function typesStatedBy(fixture: Fixture, first: 'report' | 'welcome'): ReadonlySet<string> {
  const message = decode(bytesOf(fixture, first));
  if (message?.type === RelayMessageType.report) {
    return understoodTypes(message.knownTypes, message.usesSlots);
  }
  if (message?.type === RelayMessageType.welcome) {
    return understoodTypes(message.knownTypes, message.issuesSlots);
  }
  throw new Error(`the ${first} can not be decoded`);
}

async function until(isTrue: () => boolean): Promise<void> {
  const untilMs = performance.now() + WAIT_MS;
  while (!isTrue() && performance.now() < untilMs) await clocks.sleep(5);
  expect(isTrue()).toBe(true);
}

/** A store that holds the records which the build has stored. */
async function storeOf({ records }: Fixture) {
  const store = new SoakStore();
  const address = await store.start();
  Object.entries(records).forEach(([key, record]) => {
    const [kind = '', name = ''] = key.split('/');
    store.put(kind, name, record);
  });
  const client = platform.createWire().createStore(address, 500, createLogger('test', 'silent'));
  cleanups.push(async () => {
    await client.close();
    store.stop();
  });
  return client;
}

describe.each(BUILDS)('build %s', (build) => {
  const fixture = fixtureOf(build);

  test.each(fixture.types)('its message %s is understood by this build', (type) => {
    expect(decode(bytesOf(fixture, type))?.type).toBe(type);
  });

  test('it is sent no message of a type that makes it close the connection', () => {
    const known = new Set(fixture.types);
    const unknownOf = (types: ReadonlySet<string>) => [...types].filter((type) => !known.has(type));
    expect(unknownOf(EARLIEST_TYPES)).toEqual([]);
    expect(unknownOf(typesStatedBy(fixture, 'report'))).toEqual([]);
    expect(unknownOf(typesStatedBy(fixture, 'welcome'))).toEqual([]);
  });

  test('all types that it knows are sent to it', () => {
    const stated = typesStatedBy(fixture, 'report');
    expect(fixture.types.filter((type) => !stated.has(type))).toEqual([]);
  });

  test.each(fixture.types)('it understands the message %s of this build', (type) => {
    const schema = z.fromJSONSchema(fixture.schema);
    expect(schema.safeParse(samples[type as RelayMessage['type']]).error).toBeUndefined();
  });

  test('its schema, as the fixture holds it, refuses what the build refuses', () => {
    const schema = z.fromJSONSchema(fixture.schema);
    const known = new Set(fixture.types);
    const others = Object.values(samples).filter(({ type }) => !known.has(type));
    expect(others).toHaveLength(Object.keys(samples).length - known.size);
    others.forEach((message) => expect(schema.safeParse(message).success).toBe(false));
    expect(schema.safeParse({ type: RelayMessageType.report, vm: 'vm-1' }).success).toBe(false);
  });

  test('its lease is understood', () => {
    const lease = leaseSchema.parse(fixture.records['bilberrystand/steward']);
    expect(lease).toEqual(fixture.records['bilberrystand/steward']);
    expect(lease.holder).toMatch(/^vm-\d$/);
  });

  test('its incidents are read from the store', async () => {
    const stored: AgedIncident[] = [];
    const record = new IncidentRecordTask({
      store: await storeOf(fixture),
      clock: clocks.createClock(),
      logger: createLogger('test', 'silent'),
      incidents: {
        size: 0,
        sharedVersion: 0,
        shared: () => [],
        noteStored: (incidents) => stored.push(...incidents),
      },
      isSteward: () => false,
      isStewardConnected: () => true,
      unixMs: () => Date.now(),
    });
    await record.tick();
    expect(stored.length).toBeGreaterThan(0);
    expect(stored[0]?.serverId).toMatch(/^desk-/);
  });

  test('its streams are read from the store with the versions that began them', async () => {
    const name = Object.keys(fixture.records).find((key) => key.includes('/streams'));
    const { streams: spans } = z
      .object({
        streams: z.array(z.object({ version: z.string(), atUnixMs: z.number(), ids: z.string() })),
      })
      .parse(fixture.records[name ?? '']);
    const [span] = spans;
    const nowMs = span?.atUnixMs ?? 0;
    const logger = createLogger('test', 'silent');
    const streams = new StreamVersionsTask({
      clock: clocks.createClock(),
      logger,
      send: () => true,
      isLoaded: () => true,
      confirmServers: async () => true,
    });
    const record = new StreamRecordTask({
      vm: 'vm-9',
      store: await storeOf(fixture),
      clock: clocks.createClock(),
      logger,
      streams,
      isSteward: () => false,
      isStewardConnected: () => true,
      members: () => 1,
      unixMs: () => nowMs,
    });
    await record.tick();
    const [id = ''] = span?.ids.split(' ') ?? [];
    expect(await streams.versionFor(id, 'desk')).toBe(span?.version);
  });
});

describe('a connection between entry VMs', () => {
  interface Line {
    readonly event: string;
    readonly type?: string;
  }

  /** The two ends of a connection, the messages that have been read, and the log. */
  async function connect() {
    const read: RelayMessage[] = [];
    const lines: Line[] = [];
    const logger = {
      warn: (event: string, fields: object) => lines.push({ event, ...fields }),
    } as unknown as Logger;
    const server = net.createServer((socket) => {
      readMessages(socket, {
        logger,
        peerName: () => 'vm-1',
        handle: (message) => read.push(message),
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1');
    let isClosed = false;
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
    });
    cleanups.push(() => {
      socket.destroy();
      server.close();
    });
    const send = (message: object) => socket.write(frames.encodeBody(message));
    return { socket, send, read, lines, isClosed: () => isClosed };
  }

  const { ask } = samples;

  test('is kept when a newer build sends a type that is not known here, which is logged once', async () => {
    const { send, read, lines, isClosed } = await connect();
    send({ type: 'of-a-newer-build', field: 1 });
    send({ type: 'of-a-newer-build', field: 2 });
    send(ask);
    await until(() => read.length === 1);
    expect(read).toEqual([ask]);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({ event: 'unknown-message', type: 'of-a-newer-build' });
    expect(isClosed()).toBe(false);
  });

  test('loses only the engines of the first report of 6152b17, whose ages do not match', async () => {
    const { send, read, lines } = await connect();
    send({ ...samples.report, reached: [{ server: 's1', ageMs: Infinity }] });
    await until(() => read.length === 1);
    expect(read).toEqual([{ ...samples.report, reached: [] }]);
    expect(lines).toEqual([]);
  });

  test('is kept when a message that may be lost does not match', async () => {
    const { send, read, lines, isClosed } = await connect();
    send({ ...samples.report, clockMs: Infinity });
    send(samples.report);
    await until(() => read.length === 1);
    expect(read).toEqual([samples.report]);
    expect(lines).toMatchObject([{ event: 'bad-frame', type: RelayMessageType.report }]);
    expect(isClosed()).toBe(false);
  });

  test('is closed when relayed bytes can not be decoded, which would leave a gap', async () => {
    const { send, read, isClosed } = await connect();
    send({ type: RelayMessageType.relayData, bytes: 'text' });
    send(ask);
    await until(isClosed);
    expect(read).toEqual([]);
  });

  test('is closed by bytes that are no message', async () => {
    const { socket, read, isClosed } = await connect();
    socket.write(Buffer.concat([frames.encodeBody('text'), frames.encodeBody(ask)]));
    await until(isClosed);
    expect(read).toEqual([]);
  });

  test('carries types that older builds do not know only once the other end has named them', async () => {
    const { socket, read } = await connect();
    const link = new MessageLink(socket);
    expect(link.send(samples.slots)).toBe(false);
    link.noteTypes(OWN_TYPES, true);
    expect(link.send(samples.slots)).toBe(true);
    // Only the first report on a connection names the types.
    link.noteTypes(null, false);
    expect(link.send(samples[RelayMessageType.slotNeeds])).toBe(true);
    await until(() => read.length === 2);
  });

  test('carries further types that a newer build has named, and none that it has not', () => {
    const newer = understoodTypes(['of-a-newer-build', RelayMessageType.slots], true);
    expect(newer.has(RelayMessageType.slots)).toBe(true);
    expect(newer.has(RelayMessageType.relayOpen)).toBe(false);
    expect(newer.has(RelayMessageType.report)).toBe(true);
  });
});
