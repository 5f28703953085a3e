import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { EventSplitter } from '../../../src/entry/relay/event-stream.js';

const event = (id: number) => `id: ${id}\ndata: part ${id}\n\n`;

describe('EventSplitter', () => {
  test('returns complete events however the bytes are chunked', () => {
    const splitter = new EventSplitter(null);
    const text = `${event(1)}${event(2)}${event(3)}`;
    const out = [...text].map((char) => splitter.push(Buffer.from(char)));
    expect(out.every(({ isInOrder }) => isInOrder)).toBe(true);
    expect(Buffer.concat(out.map(({ bytes }) => bytes)).toString()).toBe(text);
    expect(splitter.partialBytes).toBe(0);
    expect(splitter.lastId).toBe(3);
  });

  test('discards the incomplete event of a broken stream and continues with the resumed one', () => {
    const splitter = new EventSplitter(null);
    expect(splitter.push(Buffer.from(`${event(1)}id: 2\nda`)).bytes.toString()).toBe(event(1));
    splitter.discardPartialEvent();
    const step = splitter.push(Buffer.from(event(2)));
    expect(step).toMatchObject({ isInOrder: true });
    expect(step.bytes.toString()).toBe(event(2));
  });

  test('reports a missing or repeated event as out of order', () => {
    const missing = new EventSplitter('4');
    expect(missing.push(Buffer.from(event(6))).isInOrder).toBe(false);
    const repeated = new EventSplitter(null);
    expect(repeated.push(Buffer.from(`${event(1)}${event(1)}`)).isInOrder).toBe(false);
  });

  test('rejects an event without an end once it exceeds the maximum length', () => {
    const splitter = new EventSplitter(null);
    const steps = Array.from({ length: 40 }, () => splitter.push(Buffer.alloc(65_536, 'x')));
    expect(steps.at(0)?.isInOrder).toBe(true);
    expect(steps.at(-1)?.isInOrder).toBe(false);
  });
});

describe('an event that arrives in many parts', () => {
  test('is completed wherever its end is split', () => {
    const text = 'id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 3\ndata: z';
    Array.from({ length: text.length }, (_, at) => at).forEach((at) => {
      const splitter = new EventSplitter(null);
      const first = splitter.push(Buffer.from(text.slice(0, at)));
      const second = splitter.push(Buffer.from(text.slice(at)));
      const complete = Buffer.concat([first.bytes, second.bytes]).toString();
      expect(complete).toBe('id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n');
      expect([first.isInOrder, second.isInOrder, splitter.lastId]).toEqual([true, true, 2]);
      expect(splitter.partialBytes).toBe('id: 3\ndata: z'.length);
    });
  });

  test('is refused once it is too long, without being copied for each part', () => {
    const splitter = new EventSplitter(null);
    const part = Buffer.alloc(64, 'x');
    let parts = 0;
    while (splitter.push(part).isInOrder) parts += 1;
    expect(parts).toBe(1_048_576 / part.length);
  });
});

/** What the splitter must do, on the whole text of the stream so far. */
class SplitterModel {
  private partial = '';

  lastId: number | null = null;

  push(text: string): { readonly text: string; readonly isInOrder: boolean } {
    const buffered = this.partial + text;
    const events = buffered.match(/[^]*?(?:\r\n\r\n|\n\n)/g) ?? [];
    const complete = events.join('');
    this.partial = buffered.slice(complete.length);
    const wrongAt = events.findIndex((one) => {
      const id = /^id:[ ]?(\d+)\r?$/m.exec(one)?.[1];
      const isNext = id === undefined || this.lastId === null || Number(id) === this.lastId + 1;
      if (id !== undefined && isNext) this.lastId = Number(id);
      return !isNext;
    });
    const inOrder = wrongAt < 0 ? events : events.slice(0, wrongAt);
    return { text: inOrder.join(''), isInOrder: wrongAt < 0 };
  }

  get partialBytes(): number {
    return this.partial.length;
  }
}

describe('any bytes in any parts', () => {
  const piece = fc.oneof(
    fc.constantFrom('\n', '\r', '\n\n', '\r\n', '\r\n\r\n', 'id:', 'id: ', ':', ' ', '\xff'),
    fc.integer({ min: 1, max: 4 }).map((id) => `id: ${id}\n`),
    fc.integer({ min: 1, max: 4 }).map(String),
    fc.string({ maxLength: 3 }),
  );
  const part = fc.array(piece, { maxLength: 6 }).map((pieces) => pieces.join(''));

  test('are split and checked as the whole text would be', () => {
    fc.assert(
      fc.property(fc.array(part, { maxLength: 12 }), (parts) => {
        const splitter = new EventSplitter(null);
        const model = new SplitterModel();
        parts.forEach((text) => {
          const bytes = Buffer.from(text, 'latin1');
          const expected = model.push(bytes.toString('latin1'));
          const { bytes: complete, isInOrder } = splitter.push(bytes);
          expect({ text: complete.toString('latin1'), isInOrder }).toEqual(expected);
          expect(splitter.lastId).toBe(model.lastId);
          expect(splitter.partialBytes).toBe(model.partialBytes);
        });
      }),
      { seed: 38, numRuns: 5_000 },
    );
  });
});
