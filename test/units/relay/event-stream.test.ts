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
    expect(splitter.hasPartialEvent).toBe(false);
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
