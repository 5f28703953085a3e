/** Which of two attempts serves the caller, and that the other one is aborted. */
import { describe, expect, test } from 'vitest';
import { AttemptEnd, type AttemptResult } from '../../../src/entry/relay/attempt.js';
import {
  AttemptRace,
  type FinishedAttempt,
  RunningAttempt,
  Superseded,
} from '../../../src/entry/relay/attempt-race.js';
import type { Run } from '../../../src/entry/relay/fleet-view.js';

const ABORTED: AttemptResult = {
  type: AttemptEnd.broken,
  reason: 'request aborted',
  connectionLost: false,
};
const LOST: AttemptResult = { ...ABORTED, reason: 'connection closed', connectionLost: true };
const REFUSED: AttemptResult = {
  type: AttemptEnd.notRun,
  reason: 'connect timed out',
  reached: false,
  status: null,
};
const STREAMED: AttemptResult = { type: AttemptEnd.streamed };

/** A silent attempt and its replacement; both end when the test says so, or when they are aborted. */
function startRace() {
  const ends = new Map<RunningAttempt, (result: AttemptResult) => void>();
  const unused: FinishedAttempt[] = [];
  const race = new AttemptRace({
    send: (attempt) =>
      new Promise((resolve) => {
        ends.set(attempt, resolve);
        attempt.signal.addEventListener('abort', () => resolve(ABORTED));
      }),
    isUsable: ({ type }) => type === AttemptEnd.streamed,
    onUnused: (finished) => unused.push(finished),
  });
  const silent = new RunningAttempt({} as Run, 0);
  const replacement = new RunningAttempt({} as Run, 800);
  const finished = race.run(silent);
  race.replaceBy(replacement);
  const end = (attempt: RunningAttempt, result: AttemptResult) => ends.get(attempt)?.(result);
  return { race, silent, replacement, finished, unused, end };
}

describe('a silent attempt', () => {
  test('is aborted only once its replacement has begun to respond', async () => {
    const { race, silent, replacement, finished, unused, end } = startRace();
    expect(silent.signal.aborted).toBe(false);
    expect(race.noteResponse(replacement)).toBe(true);
    expect(silent.signal.aborted).toBe(true);
    expect(silent.superseded).toBe(Superseded.silent);
    expect(race.current).toBe(replacement);
    end(replacement, STREAMED);
    expect(await finished).toEqual({ attempt: replacement, result: STREAMED });
    expect(unused).toEqual([{ attempt: silent, result: ABORTED }]);
  });

  test('goes on if its replacement is refused, and may be replaced again', async () => {
    const { race, silent, replacement, finished, unused, end } = startRace();
    expect(race.mayReplace(silent)).toBe(false);
    end(replacement, REFUSED);
    await Promise.resolve();
    expect(unused).toEqual([{ attempt: replacement, result: REFUSED }]);
    expect(race.mayReplace(silent)).toBe(true);
    end(silent, STREAMED);
    expect(await finished).toEqual({ attempt: silent, result: STREAMED });
  });

  test('aborts its replacement when it sends an event', async () => {
    const { race, silent, replacement, finished, end } = startRace();
    expect(race.noteResponse(silent)).toBe(false);
    expect(replacement.superseded).toBe(Superseded.spare);
    expect(silent.signal.aborted).toBe(false);
    end(silent, STREAMED);
    expect((await finished).attempt).toBe(silent);
  });

  test('leaves the request to its replacement when its connection is lost', async () => {
    const { race, silent, replacement, finished, unused, end } = startRace();
    end(silent, LOST);
    await Promise.resolve();
    expect(unused).toEqual([{ attempt: silent, result: LOST }]);
    expect(race.current).toBe(replacement);
    end(replacement, REFUSED);
    expect(await finished).toEqual({ attempt: replacement, result: REFUSED });
  });
});

describe('a replacement that has a whole response', () => {
  test('serves the caller, and the silent attempt is aborted', async () => {
    const { silent, replacement, finished, end } = startRace();
    end(replacement, STREAMED);
    expect((await finished).attempt).toBe(replacement);
    expect(silent.superseded).toBe(Superseded.silent);
  });
});

describe('an exception of an attempt', () => {
  test('ends both attempts', async () => {
    const race = new AttemptRace({
      send: (attempt) => Promise.reject(new Error(String(attempt.sentAtMs))),
      isUsable: () => true,
      onUnused: () => undefined,
    });
    const attempt = new RunningAttempt({} as Run, 7);
    await expect(race.run(attempt)).rejects.toThrow('7');
    expect(race.current).toBe(null);
    expect(attempt.signal.aborted).toBe(true);
  });
});
