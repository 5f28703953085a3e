/** Requests against engines that fail: whole answers, true refusals, no engine killed three times. */
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { answerTo, type EngineCounters } from '../../src/standins/engine/index.js';
import { LocalFleet, refusalOf } from './local-fleet.js';

interface Completion {
  readonly choices: readonly { readonly text: string }[];
}

const textOf = (body: string) => (JSON.parse(body) as Completion).choices[0]?.text;

describe('requests', () => {
  let fleet: LocalFleet;

  beforeAll(async () => {
    fleet = await LocalFleet.start({
      entries: ['a', 'a'],
      engines: ['a', 'a', 'a'],
      edits: [
        { path: '/services/drafting/models/huge', values: { bytesMb: 90_000, deadlineMs: 400 } },
      ],
    });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  /** Deaths that the first entry VM has told its peers, repeats included. */
  const deathsTold = async () => {
    const res = await fetch(`http://${fleet.entry(0).daemon.adminAddress}/metrics`);
    const [, count = '0'] = /peer_messages_sent\{type="death"\} (\d+)/.exec(await res.text()) ?? [];
    return Number(count);
  };

  const crashes = async () => {
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    return counters.reduce((sum, counter) => sum + counter.crashes, 0);
  };

  const allFaults = (faults: object) =>
    Promise.all(fleet.engines.map((engine) => fleet.faults(engine, faults)));

  test('a cold model is loaded once for waiters on all entry VMs', async () => {
    const answers = await Promise.all(
      Array.from({ length: 6 }, (_, index) => fleet.complete(index % 2, { model: 'caster' })),
    );
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    const loads = counters.reduce((sum, { loadsStarted }) => sum + loadsStarted, 0);
    expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
    expect(loads).toBe(1);
  });

  test('an adapter is served from its base model', async () => {
    const answer = await fleet.complete(0, { model: 'wheel-es', prompt: 'p', max_tokens: 5 });
    expect(textOf(answer.text)).toBe(answerTo('p', 5));
  });

  test.each([
    ['breaks off', false],
    ['ends without its end marker', true],
  ])('a stream that %s is resumed from its last token', async (_name, cutCleanly) => {
    await fleet.complete(0, {});
    await allFaults({ cutAfterTokens: 6, cutCleanly });
    const answer = await fleet.complete(0, { prompt: 'cut', max_tokens: 10 });
    await allFaults({ cutAfterTokens: 0 });
    expect(textOf(answer.text)).toBe(answerTo('cut', 10));
  });

  test('a stream that cannot be completed ends with an error, not with its end marker', async () => {
    await allFaults({ cutAfterTokens: 2 });
    const answer = await fleet.complete(0, { prompt: 'cut', max_tokens: 50, stream: true });
    await allFaults({ cutAfterTokens: 0 });
    expect(answer.text).toContain('event: error');
    expect(answer.text).not.toContain('[DONE]');
  });

  test("another request's answer never reaches the caller", async () => {
    await allFaults({ crossAnswers: 1 });
    const answer = await fleet.complete(0, { prompt: 'mine', max_tokens: 4, stream: true });
    await allFaults({ crossAnswers: 0 });
    expect(answer.status === 200 ? answer.text : 'data: [DONE]').toContain('data: [DONE]');
    expect(answer.text).not.toContain('another-request');
  });

  test('what cannot be loaded in time is refused as not run, with a time to come back', async () => {
    const answer = await fleet.complete(0, { model: 'huge' });
    expect(answer.status).toBe(503);
    expect(refusalOf(answer).ran).toBe('no');
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(answer.headers['x-bilberrystand-ran']).toBe('no');
  });

  test('a load that fails is tried again while requests wait', async () => {
    await Promise.all(fleet.engines.map((engine) => fleet.faults(engine, { failLoads: 1 })));
    await fleet.edit([
      { path: '/services/drafting/models/late', values: { bytesMb: 4_000, deadlineMs: 10_000 } },
    ]);
    await fleet.until('the edit is in force', async () => {
      const answer = await fleet.send(0, 'GET', '/v1/models');
      return answer.text.includes('"late"');
    });
    const answer = await fleet.complete(0, { model: 'late' });
    expect(answer.status).toBe(200);
  });

  test('a request that crashes engines takes down two at most, wherever it is sent again', async () => {
    await allFaults({ crashMarker: 'poison', crashDownMs: 300 });
    const send = (index: number) => fleet.complete(index % 2, { prompt: 'poison pill' });
    const statuses: number[] = [];
    for (let index = 0; index < 6; index += 1) statuses.push((await send(index)).status);
    const innocent = await fleet.complete(0, { prompt: 'innocent', max_tokens: 3 });
    expect(await crashes()).toBeLessThanOrEqual(2);
    expect(statuses.slice(2)).toEqual(Array(4).fill(422));
    expect(textOf(innocent.text)).toBe(answerTo('innocent', 3));
  });

  test('a request that crashes engines is refused by an entry VM that starts later, too', async () => {
    const toldBefore = await deathsTold();
    const late = await fleet.addEntry('a');
    await fleet.settle();
    await fleet.until('the others have told it', async () => (await deathsTold()) > toldBefore);
    const crashesBefore = await crashes();
    expect((await fleet.complete(2, { prompt: 'poison pill' })).status).toBe(422);
    expect(await crashes()).toBe(crashesBefore);
    await fleet.stopEntry(late);
  });

  test('a request whose caller leaves before its engines crash takes down two at most', async () => {
    const crashesBefore = await crashes();
    await allFaults({ crashMarker: 'impatient', crashAfterMs: 300, crashDownMs: 300 });
    const { callersAddress } = fleet.entry(0).daemon;
    for (let index = 0; index < 5; index += 1) {
      await fetch(`http://${callersAddress}/v1/completions`, {
        method: 'POST',
        body: JSON.stringify({ model: 'wheel', prompt: 'impatient', max_tokens: 5, stream: true }),
        headers: { authorization: 'Bearer bsk_test_small' },
        signal: AbortSignal.timeout(150),
      })
        .then((res) => res.body?.cancel())
        .catch(() => undefined);
      await clocks.sleep(1_600);
    }
    expect((await crashes()) - crashesBefore).toBeLessThanOrEqual(2);
    expect((await crashes()) - crashesBefore).toBeGreaterThan(0);
    await allFaults({ crashMarker: '', crashAfterMs: 0 });
  });

  test('no engine saw a key', async () => {
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    expect(counters.flatMap(({ keysSeen }) => keysSeen)).toEqual([]);
    expect(counters.flatMap(({ headersSeen }) => headersSeen)).not.toContain('authorization');
  });

  test('a caller that goes away frees its engine', async () => {
    const abort = new AbortController();
    const { callersAddress } = fleet.entry(0).daemon;
    const gone = fetch(`http://${callersAddress}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'wheel', prompt: 'long', max_tokens: 5_000, stream: true }),
      headers: { authorization: 'Bearer bsk_test_small' },
      signal: abort.signal,
    });
    const res = await gone;
    await res.body?.getReader().read();
    abort.abort();
    await fleet.until('the engine is told', async () => {
      const counters = await Promise.all(
        fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
      );
      return counters.some(({ cancelled }) => cancelled > 0);
    });
  });
});
