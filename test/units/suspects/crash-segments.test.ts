/** Segments are refused after verified crashes under different requests, and known to new peers. */
import { describe, expect, test } from 'vitest';
import { CrashSegments, segmentFingerprint } from '../../../src/decisions/suspects/index.js';

const DEAD = segmentFingerprint('dead');
const SHARED = segmentFingerprint('shared');

const crashAt = (engineId: string, fingerprint: string, agoMs = 0) => ({
  fingerprint,
  engineId,
  ranMs: 10,
  agoMs,
  segments: [SHARED, DEAD],
});

function withThreeCrashes(): CrashSegments {
  const crashes = new CrashSegments();
  crashes.note(1_000, crashAt('a', 'r1'));
  crashes.note(1_500, crashAt('b', 'r1'));
  crashes.note(3_000, crashAt('a', 'r2'));
  return crashes;
}

describe('segments of requests that crashed engines', () => {
  test('are refused after three crashes of two requests, also of one engine', () => {
    const crashes = withThreeCrashes();
    expect(crashes.refusedForMs(3_000, [SHARED, DEAD], false)).toBe(2_000);
    expect(crashes.refusedForMs(3_000, [SHARED], false)).toBeNull();
  });

  test('count once for several reports of one crash', () => {
    const crashes = new CrashSegments();
    ['r1', 'r2', 'r3'].forEach((request) => crashes.note(1_000, crashAt('a', request)));
    expect(crashes.refusedForMs(1_000, [SHARED, DEAD], false)).toBeNull();
  });

  test('are probed by one request, at the entry VM that may', () => {
    const crashes = withThreeCrashes();
    expect(crashes.refusedForMs(5_000, [SHARED, DEAD], false)).not.toBeNull();
    expect(crashes.refusedForMs(5_000, [SHARED, DEAD], true)).toBeNull();
    expect(crashes.refusedForMs(5_001, [SHARED, DEAD], true)).not.toBeNull();
  });

  test('are accepted once a request with them has run', () => {
    const crashes = withThreeCrashes();
    crashes.noteCompleted(4_000, [SHARED]);
    expect(crashes.refusedForMs(4_000, [DEAD], false)).not.toBeNull();
    crashes.noteCompleted(4_000, [DEAD]);
    expect(crashes.refusedForMs(4_000, [SHARED, DEAD], false)).toBeNull();
  });

  test('are refused by an entry VM that learns of the crashes later', () => {
    const crashes = withThreeCrashes();
    crashes.noteCompleted(3_050, [SHARED]);
    const late = new CrashSegments();
    crashes.knownCrashes(3_100).forEach((crash) => late.note(9_000, crash));
    expect(late.refusedForMs(9_000, [DEAD], false)).not.toBeNull();
    expect(late.refusedForMs(9_000, [SHARED], false)).toBeNull();
  });
});
