/** Messages about peers and relayed connections, also between software versions. */
import { describe, expect, test } from 'vitest';
import * as frames from '../../../src/core/messages/index.js';
import { PeerFailure } from '../../../src/decisions/peer-choice/index.js';
import { relayMessageSchema, RelayMessageType } from '../../../src/entry/relay/messages.js';

function decode(message: object) {
  const splitter = new frames.FrameSplitter(1_048_576);
  const [body] = splitter.push(frames.encodeBody(message), 'vm-1').unwrapOr([]);
  return frames.decodeBody(relayMessageSchema, body ?? Buffer.alloc(0), 'vm-1');
}

describe('a message from another software version', () => {
  test('a view of an older steward leaves the list of peers as it was', () => {
    const view = { type: RelayMessageType.view, whole: false, engines: [], running: {}, loads: [] };
    expect(decode({ ...view, members: 1 }).unwrapOr(null)).toMatchObject({ peers: null });
  });

  test('a refusal for a reason that is not known here counts as unavailable', () => {
    const refused = { type: RelayMessageType.relayRefused, failure: 'newer', reason: '' };
    expect(decode(refused).unwrapOr(null)).toMatchObject({ failure: PeerFailure.unavailable });
  });
});

test('the log of a frame that does not match names its type and the first wrong field, not its value', () => {
  const ask = { type: RelayMessageType.ask, askId: 1, customer: 'c1', units: Infinity };
  const failure = decode(ask).match({ Ok: () => '', Err: ({ message }) => message });
  expect(failure).toContain(`of type ${RelayMessageType.ask}`);
  expect(failure).toContain('units');
  const secret = decode({ ...ask, units: 'secret-value' });
  expect(secret.match({ Ok: () => '', Err: ({ message }) => message })).not.toContain('secret');
});

test('bytes that are relayed are the same on the other side', () => {
  const bytes = Buffer.from(Array.from({ length: 256 }, (_, at) => at));
  const message = decode({ type: RelayMessageType.relayData, bytes }).unwrapOr(null);
  expect(message?.type).toBe(RelayMessageType.relayData);
  if (message?.type !== RelayMessageType.relayData) return;
  expect(Buffer.compare(message.bytes, bytes)).toBe(0);
});
