/**
 * Non-idempotent orders run at most once despite lost responses, concurrent duplicates and outages.
 * The counters of the service show how often each order ran.
 */
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { ServiceCounters } from '../../src/standins/service/index.js';
import { type CallerResponse, errorOf, LocalFleet } from './local-fleet.js';

describe('orders', () => {
  let fleet: LocalFleet;

  beforeAll(async () => {
    fleet = await LocalFleet.start({ entries: ['a', 'b'], engines: [], services: ['a', 'b'] });
  });

  afterAll(async () => {
    await fleet.stop();
  });

  const order = (
    index: number,
    name: string,
    key = name,
    item = 'caster',
  ): Promise<CallerResponse> =>
    fleet.send(index, 'POST', '/services/desk/orders', {
      body: JSON.stringify({ order: name, item }),
      headers: { 'idempotency-key': key, 'content-type': 'application/json' },
    });

  const runsOf = async (name: string): Promise<number> => {
    const counters = await Promise.all(
      fleet.services.map((service) => fleet.counters<ServiceCounters>(service)),
    );
    return counters.reduce((sum, { runs }) => sum + (runs[name] ?? 0), 0);
  };

  const setServiceFaults = (faults: object) =>
    Promise.all(fleet.services.map((service) => fleet.setFaults(service, faults)));

  test('that are sent to two data centres concurrently run once', async () => {
    const names = Array.from({ length: 40 }, (_, index) => `twice-${index}`);
    await Promise.all(names.flatMap((name) => [order(0, name), order(1, name)]));
    const repeats = await Promise.all(names.map((name) => order(1, name)));
    const runs = await Promise.all(names.map(runsOf));
    expect(runs).toEqual(names.map(() => 1));
    expect(repeats.map(({ status }) => status)).toEqual(names.map(() => 201));
    expect(repeats.every(({ headers }) => headers['x-bilberrystand-replayed'] === 'true')).toBe(
      true,
    );
  });

  test('run once when the platform applies writes but its responses are lost', async () => {
    await fleet.setFaults(fleet.platform, { loseAnswers: 5 });
    const names = Array.from({ length: 5 }, (_, index) => `lost-${index}`);
    const answers = await Promise.all(names.map((name) => order(0, name)));
    const runs = await Promise.all(names.map(runsOf));
    await fleet.setFaults(fleet.platform, { loseAnswers: 0 });
    expect(answers.map(({ status }) => status)).toEqual(names.map(() => 201));
    expect(runs).toEqual(names.map(() => 1));
  });

  test('are rejected as not executed during a platform outage, and run afterwards', async () => {
    await fleet.setFaults(fleet.platform, { down: true });
    const refused = await order(0, 'outage');
    await fleet.setFaults(fleet.platform, { down: false });
    expect(refused.status).toBe(503);
    expect(errorOf(refused).ran).toBe('no');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(await runsOf('outage')).toBe(0);
    await fleet.until('an order is accepted after the outage', async () => {
      const answer = await order(0, 'outage');
      return answer.status === 201;
    });
    expect(await runsOf('outage')).toBe(1);
  });

  test('whose response is lost are not run again, and their outcome is reported as unknown', async () => {
    await setServiceFaults({ loseAnswers: 1 });
    const first = await order(0, 'answer-lost');
    await setServiceFaults({ loseAnswers: 0 });
    await fleet.until('the outcome is recorded', async () => {
      const answer = await order(1, 'answer-lost');
      return errorOf(answer).type === 'OutcomeUnknown';
    });
    const repeat = await order(1, 'answer-lost');
    expect(errorOf(first).ran).toBe('unknown');
    expect(errorOf(repeat).ran).toBe('unknown');
    expect(await runsOf('answer-lost')).toBe(1);
  });

  test('without an Idempotency-Key are forwarded once', async () => {
    await setServiceFaults({ loseAnswers: 1 });
    const answer = await fleet.send(0, 'POST', '/services/desk/orders', {
      body: JSON.stringify({ order: 'plain' }),
    });
    await setServiceFaults({ loseAnswers: 0 });
    expect(errorOf(answer).ran).toBe('unknown');
    expect(await runsOf('plain')).toBe(1);
  });

  test('with a different body under the same Idempotency-Key are rejected', async () => {
    await order(0, 'first', 'same-key');
    const other = await order(1, 'second', 'same-key');
    expect(errorOf(other)).toMatchObject({ type: 'ClaimMismatch', ran: 'no' });
    expect(await runsOf('second')).toBe(0);
  });

  test('run to completion when the caller disconnects', async () => {
    await setServiceFaults({ slowMs: 300 });
    const abort = new AbortController();
    const { callersAddress } = fleet.entry(0).daemon;
    const abortedRequest = fetch(`http://${callersAddress}/services/desk/orders`, {
      method: 'POST',
      body: JSON.stringify({ order: 'hung-up' }),
      headers: { authorization: 'Bearer bsk_test_small', 'idempotency-key': 'hung-up' },
      signal: abort.signal,
    }).catch(() => null);
    await fleet.until('the order runs', async () => (await runsOf('hung-up')) === 1);
    abort.abort();
    await abortedRequest;
    await fleet.until('a retry gets the recorded outcome', async () => {
      const answer = await fleet.send(1, 'POST', '/services/desk/orders', {
        body: JSON.stringify({ order: 'hung-up' }),
        headers: { 'idempotency-key': 'hung-up' },
      });
      return answer.status === 201;
    });
    await setServiceFaults({ slowMs: 0 });
    expect(await runsOf('hung-up')).toBe(1);
  });

  test('stock lookups are retried on another server when one drops the connection', async () => {
    await fleet.setFaults(fleet.services[0] ?? { address: '' }, { dropRequests: 1 });
    const answers = await Promise.all(
      Array.from({ length: 4 }, () => fleet.send(0, 'GET', '/services/desk/stock/caster')),
    );
    await setServiceFaults({ dropRequests: 0 });
    expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  });

  test('no service receives a key', async () => {
    const counters = await Promise.all(
      fleet.services.map((service) => fleet.counters<ServiceCounters>(service)),
    );
    expect(counters.flatMap(({ keysSeen }) => keysSeen)).toEqual([]);
  });
});
