/** Deflated messages arrive as they were sent, and only VMs that understand them get any. */
import * as net from 'node:net';
import * as zlib from 'node:zlib';
import { afterEach, describe, expect, test } from 'vitest';
import { createLogger } from '../../../src/core/logger/index.js';
import * as frames from '../../../src/core/messages/index.js';
import { MessageLink, readMessages } from '../../../src/entry/relay/message-link.js';
import { type RelayMessage, RelayMessageType } from '../../../src/entry/relay/messages.js';
import { SharedMessage } from '../../../src/entry/relay/packed-messages.js';
import { samples } from '../../fixtures/builds/samples.js';

const LONG: RelayMessage = {
  ...samples[RelayMessageType.beliefs],
  gone: Array.from({ length: 200 }, (_, at) => `engine-${at}`),
};
const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

/** A link, and the messages that its other end has read. */
async function connect() {
  const read: RelayMessage[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    readMessages(socket, {
      logger: createLogger('test', 'silent'),
      peerName: () => 'vm-1',
      handle: (message) => read.push(message),
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  closers.push(
    () => socket.destroy(),
    () => server.close(),
  );
  return { socket, link: new MessageLink(socket), read };
}

describe('a message that is sent to several VMs', () => {
  test('arrives deflated at one that understands this', async () => {
    const { socket, link, read } = await connect();
    link.noteTypes([RelayMessageType.packed], true);
    const shared = new SharedMessage(LONG);
    expect(shared.packed.length).toBeLessThan(shared.plain.length / 2);
    link.sendShared(shared);
    await expect.poll(() => read).toEqual([LONG]);
    expect(socket.bytesWritten).toBe(shared.packed.length);
  });

  test('arrives as it is at one that does not', async () => {
    const { socket, link, read } = await connect();
    const shared = new SharedMessage(LONG);
    link.sendShared(shared);
    await expect.poll(() => read).toEqual([LONG]);
    expect(socket.bytesWritten).toBe(shared.plain.length);
  });
});

describe('a packed message', () => {
  const packed = (body: Uint8Array) =>
    frames.encodeBody({ type: RelayMessageType.packed, bytes: zlib.deflateRawSync(body) });

  test('within another one is dropped', async () => {
    const { socket, link, read } = await connect();
    const inner = new SharedMessage(LONG).packed.subarray(frames.LENGTH_BYTES);
    socket.write(packed(inner));
    link.send(samples.ask);
    await expect.poll(() => read).toEqual([samples.ask]);
  });

  test.each([
    ['that is larger than any message', packed(Buffer.alloc(5_000_000))],
    ['that is no deflated data', frames.encodeBody(samples[RelayMessageType.packed])],
  ])('%s closes the connection', async (_, frame) => {
    const { socket, read } = await connect();
    socket.write(frame);
    await expect.poll(() => socket.destroyed || socket.readableEnded).toBe(true);
    expect(read).toEqual([]);
  });
});
