import { PassThrough } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { ResponsePause } from '../../../src/entry/relay/response-pause.js';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';

function setUp(complete: boolean) {
  const state = { nowMs: 0 };
  const turns = new WorkTurns({
    nowMs: () => state.nowMs,
    schedule: (handler) => {
      void setImmediate().then(handler);
    },
    defer: (handler) => {
      process.nextTick(handler);
    },
  });
  const socket = new PassThrough();
  const res = Object.assign(new PassThrough(), { complete, socket });
  [socket, res].forEach((stream) => stream.resume());
  const pausing = new ResponsePause(res as never, null);
  const read = (ms: number) => {
    pausing.noteRead(turns);
    state.nowMs += ms;
  };
  const arePaused = () => [res.isPaused(), socket.isPaused()];
  return { read, arePaused };
}

// A turn once read up to 2 MB from each connection, and new callers waited to be accepted.
test('a response is read on in a later turn once this one has spent its time', async () => {
  const { read, arePaused } = setUp(false);
  read(6);
  await Promise.resolve();
  expect(arePaused()).toEqual([false, false]);
  read(0);
  read(0);
  // What was read at once is taken at once.
  expect(arePaused()).toEqual([false, false]);
  await new Promise(process.nextTick);
  expect(arePaused()).toEqual([true, true]);
  await setImmediate();
  await setImmediate();
  expect(arePaused()).toEqual([false, false]);
});

test('the connection of a complete response is not paused, as it may serve another one', async () => {
  const { read, arePaused } = setUp(true);
  read(6);
  read(0);
  await new Promise(process.nextTick);
  expect(arePaused()).toEqual([false, false]);
});
