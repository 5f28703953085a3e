import { describe, expect, test } from 'vitest';
import { EventCutter } from '../../../src/entry/relay/event-stream.js';

const event = (id: number) => `id: ${id}\ndata: part ${id}\n\n`;

describe('an event stream', () => {
  test('goes on in whole events, however its bytes are cut', () => {
    const cutter = new EventCutter(null);
    const text = `${event(1)}${event(2)}${event(3)}`;
    const out = [...text].map((char) => cutter.push(Buffer.from(char)));
    expect(out.every(({ inOrder }) => inOrder)).toBe(true);
    expect(Buffer.concat(out.map(({ bytes }) => bytes)).toString()).toBe(text);
    expect(cutter.hasRest).toBe(false);
    expect(cutter.lastId).toBe(3);
  });

  test('drops half an event of a server that broke off, and goes on at the next', () => {
    const cutter = new EventCutter(null);
    expect(cutter.push(Buffer.from(`${event(1)}id: 2\nda`)).bytes.toString()).toBe(event(1));
    cutter.restart();
    const step = cutter.push(Buffer.from(event(2)));
    expect(step).toMatchObject({ inOrder: true });
    expect(step.bytes.toString()).toBe(event(2));
  });

  test('is refused where an event is missing or comes twice', () => {
    const missing = new EventCutter('4');
    expect(missing.push(Buffer.from(event(6))).inOrder).toBe(false);
    const doubled = new EventCutter(null);
    expect(doubled.push(Buffer.from(`${event(1)}${event(1)}`)).inOrder).toBe(false);
  });

  test('does not go on where one event has no end', () => {
    const cutter = new EventCutter(null);
    const steps = Array.from({ length: 40 }, () => cutter.push(Buffer.alloc(65_536, 'x')));
    expect(steps.at(0)?.inOrder).toBe(true);
    expect(steps.at(-1)?.inOrder).toBe(false);
  });
});
