/** Parsing arbitrary input returns a value or a failure and never throws. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import * as messages from '../../../src/core/messages/index.js';
import { parseSettings } from '../../../src/core/settings/index.js';
import * as settingsTree from '../../../src/decisions/settings-tree/index.js';
import { parseModelRequest } from '../../../src/entry/gateway/model-request.js';

const OPTIONS = { seed: 20261204, numRuns: 2_000 };
const MAX_BYTES = 1_024;

const segment = fc.constantFrom(
  'services',
  'customers',
  'backends',
  'models',
  'keys',
  'a',
  '',
  '..',
);
const edits = fc.array(
  fc.record({
    path: fc.array(segment, { maxLength: 6 }).map((names) => `/${names.join('/')}`),
    values: fc.option(fc.object({ maxDepth: 1 }), { nil: null }),
  }),
  { maxLength: 5 },
) as fc.Arbitrary<settingsTree.NodeEdit[]>;

describe('parsing', () => {
  test('rejects arbitrary text as a settings file without throwing', () => {
    fc.assert(
      fc.property(fc.string({ maxLength: 300 }), (text) => {
        expect(parseSettings(text, 'file').isErr).toBe(true);
      }),
      OPTIONS,
    );
  });

  test('rejects arbitrary bytes as frames without throwing', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 8 }), (pieces) => {
        const splitter = new messages.FrameSplitter(MAX_BYTES);
        pieces.forEach((piece) => {
          const bodies = splitter.push(Buffer.from(piece), 'peer');
          if (bodies.isOk) {
            bodies.value.forEach((body) => {
              expect(messages.decodeFrame(body, 'peer').isErr).toBe(true);
            });
          }
        });
      }),
      OPTIONS,
    );
  });

  test('decodes a frame that arrives in two pieces', () => {
    const frame: messages.Frame = {
      v: messages.FRAME_VERSION,
      from: 'vm',
      message: { type: 'quota-ask', role: 'floor', askId: 1, customer: 'c', tokens: 5 },
    };
    fc.assert(
      fc.property(fc.nat(messages.encodeFrame(frame).length), (at) => {
        const bytes = messages.encodeFrame(frame);
        const splitter = new messages.FrameSplitter(MAX_BYTES);
        const parts = [bytes.subarray(0, at), bytes.subarray(at)];
        const bodies = parts.flatMap((part) => splitter.push(part, 'peer').unwrapOr([]));
        const decoded = bodies.map((body) => messages.decodeFrame(body, 'peer'));
        expect(decoded.map((result) => result.unwrapOr(null))).toEqual([frame]);
      }),
      OPTIONS,
    );
  });

  test('applies edits of the settings tree atomically and leaves no validation error', () => {
    fc.assert(
      fc.property(edits, (list) => {
        const outcome = settingsTree.applyEdits(settingsTree.EMPTY_TREE, list);
        expect(settingsTree.EMPTY_TREE.nodes.size).toBe(0);
        if (outcome.isOk) expect(settingsTree.validationErrorsOf(outcome.value)).toEqual([]);
      }),
      OPTIONS,
    );
  });

  test('parses completion requests without throwing; a failure states that nothing was executed', () => {
    const body = fc.oneof(
      fc.string(),
      fc.json(),
      fc.object().map((value) => JSON.stringify(value)),
    );
    fc.assert(
      fc.property(body, fc.boolean(), (text, isChat) => {
        const outcome = parseModelRequest(Buffer.from(text), isChat);
        if (outcome.isErr) expect(outcome.error.ran).toBe('no');
      }),
      OPTIONS,
    );
  });
});
