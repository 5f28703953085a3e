/**
 * Requests while engines fail: responses are complete, rejections are accurate, and a request that
 * crashes engines takes down at most two.
 */
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clocks from '../../src/core/clock/index.js';
import { completionOf, type EngineCounters } from '../../src/standins/engine/index.js';
import { errorOf, LocalFleet } from './local-fleet.js';

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

  /** Crash messages (`death`) that the first entry VM has sent to its peers, repeats included. */
  const crashMessagesSent = async () => {
    const res = await fetch(`http://${fleet.entry(0).daemon.adminAddress}/metrics`);
    const [, count = '0'] = /peer_messages_sent\{type="death"\} (\d+)/.exec(await res.text()) ?? [];
    return Number(count);
  };

  const crashCount = async () => {
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    return counters.reduce((sum, counter) => sum + counter.crashes, 0);
  };

  const setFaults = (faults: object) =>
    Promise.all(fleet.engines.map((engine) => fleet.setFaults(engine, faults)));

  test('a cold model is loaded once for requests that are queued on several entry VMs', async () => {
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
    expect(textOf(answer.text)).toBe(completionOf('p', 5));
  });

  test.each([
    ['is cut off by a closed connection', false],
    ['ends without its end marker', true],
  ])('a stream that %s is resumed after its last token', async (_name, cutCleanly) => {
    await fleet.complete(0, {});
    await setFaults({ cutAfterTokens: 6, cutCleanly });
    const answer = await fleet.complete(0, { prompt: 'cut', max_tokens: 10 });
    await setFaults({ cutAfterTokens: 0 });
    expect(textOf(answer.text)).toBe(completionOf('cut', 10));
  });

  test('a stream that cannot be completed ends with an error event and without the end marker', async () => {
    await setFaults({ cutAfterTokens: 2 });
    const answer = await fleet.complete(0, { prompt: 'cut', max_tokens: 50, stream: true });
    await setFaults({ cutAfterTokens: 0 });
    expect(answer.text).toContain('event: error');
    expect(answer.text).not.toContain('[DONE]');
  });

  test("another request's response never reaches the caller", async () => {
    await setFaults({ crossAnswers: 1 });
    const answer = await fleet.complete(0, { prompt: 'mine', max_tokens: 4, stream: true });
    await setFaults({ crossAnswers: 0 });
    expect(answer.status === 200 ? answer.text : 'data: [DONE]').toContain('data: [DONE]');
    expect(answer.text).not.toContain('another-request');
  });

  test('a request whose model cannot be loaded in time is rejected as not executed with Retry-After', async () => {
    const answer = await fleet.complete(0, { model: 'huge' });
    expect(answer.status).toBe(503);
    expect(errorOf(answer).ran).toBe('no');
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(answer.headers['x-bilberrystand-ran']).toBe('no');
  });

  test('a failed load is retried while requests are queued', async () => {
    await Promise.all(fleet.engines.map((engine) => fleet.setFaults(engine, { failLoads: 1 })));
    await fleet.edit([
      { path: '/services/drafting/models/late', values: { bytesMb: 4_000, deadlineMs: 10_000 } },
    ]);
    await fleet.until('the entry VM lists the new model', async () => {
      const answer = await fleet.send(0, 'GET', '/v1/models');
      return answer.text.includes('"late"');
    });
    const answer = await fleet.complete(0, { model: 'late' });
    expect(answer.status).toBe(200);
  });

  test('a request that crashes engines takes down at most two, even if it is retried on other entry VMs', async () => {
    await setFaults({ crashMarker: 'poison', crashDownMs: 300 });
    const send = (index: number) => fleet.complete(index % 2, { prompt: 'poison pill' });
    const statuses: number[] = [];
    for (let index = 0; index < 6; index += 1) statuses.push((await send(index)).status);
    const harmless = await fleet.complete(0, { prompt: 'innocent', max_tokens: 3 });
    expect(await crashCount()).toBeLessThanOrEqual(2);
    expect(statuses.slice(2)).toEqual(Array(4).fill(422));
    expect(textOf(harmless.text)).toBe(completionOf('innocent', 3));
  });

  test('a request that crashes engines is also rejected by an entry VM that starts later', async () => {
    const sentBefore = await crashMessagesSent();
    const lateEntry = await fleet.addEntry('a');
    await fleet.settle();
    await fleet.until(
      'its peers have sent it the crashes',
      async () => (await crashMessagesSent()) > sentBefore,
    );
    const crashesBefore = await crashCount();
    expect((await fleet.complete(2, { prompt: 'poison pill' })).status).toBe(422);
    expect(await crashCount()).toBe(crashesBefore);
    await fleet.stopEntry(lateEntry);
  });

  test('a request whose caller disconnects before the engines crash takes down at most two', async () => {
    const crashesBefore = await crashCount();
    await setFaults({ crashMarker: 'impatient', crashAfterMs: 300, crashDownMs: 300 });
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
    expect((await crashCount()) - crashesBefore).toBeLessThanOrEqual(2);
    expect((await crashCount()) - crashesBefore).toBeGreaterThan(0);
    await setFaults({ crashMarker: '', crashAfterMs: 0 });
  });

  test('no engine receives a key', async () => {
    const counters = await Promise.all(
      fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
    );
    expect(counters.flatMap(({ keysSeen }) => keysSeen)).toEqual([]);
    expect(counters.flatMap(({ headersSeen }) => headersSeen)).not.toContain('authorization');
  });

  test('a request is cancelled at its engine when the caller disconnects', async () => {
    const abort = new AbortController();
    const { callersAddress } = fleet.entry(0).daemon;
    const request = fetch(`http://${callersAddress}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'wheel', prompt: 'long', max_tokens: 5_000, stream: true }),
      headers: { authorization: 'Bearer bsk_test_small' },
      signal: abort.signal,
    });
    const res = await request;
    await res.body?.getReader().read();
    abort.abort();
    await fleet.until('an engine counts the request as cancelled', async () => {
      const counters = await Promise.all(
        fleet.engines.map((engine) => fleet.counters<EngineCounters>(engine)),
      );
      return counters.some(({ cancelled }) => cancelled > 0);
    });
  });
});
