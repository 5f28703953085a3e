/**
 * Chat completions that share a message crash every engine that runs them; no two of them are alike.
 * The entry VMs learn which message it is after a few crashes, and serve those without it.
 */
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { EngineCounters } from '../../src/standins/engine/index.js';
import { LocalFleet } from './local-fleet.js';

const CRASHING_REQUESTS = 16;
/** Crashes within which the message must be found. */
const MAX_CRASHES = 5;
const SHARED = { role: 'system', content: 'You describe trolley wheels.' };

describe('chat completions that share a crashing message', () => {
  let fleet: LocalFleet;

  beforeAll(async () => {
    fleet = await LocalFleet.start({ entries: ['a', 'a'], engines: ['a', 'a', 'a'] });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  const chat = (index: number, messages: readonly object[]) =>
    fleet.send(index % fleet.entries.length, 'POST', '/v1/chat/completions', {
      body: JSON.stringify({ model: 'wheel', max_tokens: 3, messages }),
    });

  const crashCount = async () => {
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    return counters.reduce((sum, counter) => sum + counter.crashes, 0);
  };

  const ownMessage = (text: string, index: number) => ({
    role: 'user',
    content: `${text} ${index}`,
  });

  test('are refused after a few crashes; those with its other messages are served', async () => {
    await Promise.all(
      fleet.engines.map((engine) =>
        fleet.setFaults(engine, { crashMarker: 'poison', crashDownMs: 300 }),
      ),
    );
    const statuses: number[] = [];
    for (let index = 0; index < CRASHING_REQUESTS; index += 1) {
      const dead = { role: 'user', content: 'poison' };
      const { status } = await chat(index, [SHARED, dead, ownMessage('quote', index)]);
      statuses.push(status);
      const sound = await chat(index, [SHARED, ownMessage('fit', index)]);
      expect(sound.status).toBe(200);
    }
    expect(await crashCount()).toBeLessThanOrEqual(MAX_CRASHES);
    expect(statuses.slice(-8)).toEqual(Array(8).fill(503));
  });

  test('are also refused by an entry VM that starts later', async () => {
    const lateEntry = await fleet.addEntry('a');
    await fleet.settle();
    const crashesBefore = await crashCount();
    const index = fleet.entries.indexOf(lateEntry);
    const dead = { role: 'user', content: 'poison' };
    const { status } = await chat(index, [dead, ownMessage('late', 1)]);
    expect(status).toBe(503);
    expect(await crashCount()).toBe(crashesBefore);
  });
});
