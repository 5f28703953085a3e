/** Which slot of the stored record of streams is written next, and what it holds. */
import { describe, expect, test } from 'vitest';
import {
  MAX_SLOT_STREAMS,
  SLOTS,
  SPAN_MS,
  type StoredSpan,
  StreamSpans,
} from '../../../src/decisions/stream-spans/index.js';
import { type BegunStream, STREAM_TTL_MS } from '../../../src/decisions/stream-versions/index.js';

const ABSENT = 7;

function begun(id: string, atMs: number): BegunStream {
  return { id, service: 'drafting', version: 'v1', atMs };
}

function idsOf(span: StoredSpan | null): readonly string[] {
  return span?.streams.map(({ id }) => id) ?? [];
}

/** Writes what is due with the store's answer `version`; returns the span that was written. */
function write(
  spans: StreamSpans,
  nowMs: number,
  recent: readonly BegunStream[],
  version: number,
): StoredSpan | null {
  const span = spans.next(nowMs, recent);
  if (span !== null) spans.noteWritten(span, version);
  return span;
}

describe('the spans of streams', () => {
  test('are not written without new streams', () => {
    const spans = new StreamSpans([], ABSENT);
    const recent = [begun('s1', 0)];
    expect(write(spans, 0, recent, 8)).toEqual({ slot: 0, version: ABSENT, streams: recent });
    expect(spans.next(10, recent)).toBeNull();
  });

  test('hold the streams that became known in one time span', () => {
    const spans = new StreamSpans([], ABSENT);
    const recent = [begun('s1', 0)];
    write(spans, 0, recent, 8);
    recent.push(begun('s2', 50));
    expect(write(spans, 50, recent, 9)).toEqual({ slot: 0, version: 8, streams: recent });
    recent.push(begun('s3', SPAN_MS));
    const next = write(spans, SPAN_MS, recent, 10);
    expect(next).toEqual({ slot: 1, version: ABSENT, streams: [begun('s3', SPAN_MS)] });
  });

  test('are written again after a failed write', () => {
    const spans = new StreamSpans([], ABSENT);
    const recent = [begun('s1', 0)];
    const failed = spans.next(0, recent);
    expect(spans.next(300, recent)).toEqual(failed);
  });

  test('replace only spans whose streams have expired', () => {
    const spans = new StreamSpans([], ABSENT);
    const seconds = STREAM_TTL_MS / SPAN_MS + 5;
    const written = Array.from({ length: seconds }, (_, at) => {
      const nowMs = at * SPAN_MS;
      return write(spans, nowMs, [begun(`s${at}`, nowMs)], 100 + at)?.slot;
    });
    const firstExpired = STREAM_TTL_MS / SPAN_MS + 1;
    const used = Array.from({ length: firstExpired }, (_, at) => at);
    expect(written).toEqual([...used, 0, 1, 2, 3]);
  });

  test('keep what another writer has stored, and add to other slots', () => {
    const stored = { slot: 0, version: 3, streams: [begun('a', 0)] };
    const spans = new StreamSpans([stored], ABSENT);
    const span = spans.next(10, [begun('a', 0), begun('b', 10)]);
    expect(span).toEqual({ slot: 1, version: ABSENT, streams: [begun('b', 10)] });
  });

  test('replace the oldest slot if all hold streams that can be resumed', () => {
    const full = Array.from({ length: SLOTS }, (_, slot) => ({
      slot,
      version: slot + 1,
      streams: [begun(`old${slot}`, slot === 5 ? 1 : 10)],
    }));
    const span = new StreamSpans(full, ABSENT).next(20, [begun('new', 20)]);
    expect([span?.slot, span?.version, idsOf(span)]).toEqual([5, 6, ['new']]);
  });

  test('are split where one would exceed the maximum size of a value', () => {
    const spans = new StreamSpans([], ABSENT);
    const recent = Array.from({ length: MAX_SLOT_STREAMS + 1 }, (_, at) => begun(`s${at}`, 0));
    expect(idsOf(write(spans, 0, recent, 8))).toHaveLength(MAX_SLOT_STREAMS);
    const next = spans.next(50, recent);
    expect([next?.slot, idsOf(next)]).toEqual([1, [`s${MAX_SLOT_STREAMS}`]]);
  });
});
