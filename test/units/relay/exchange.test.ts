/** One request's way: what it leaves for the steward's picture of demand and for the retry bound. */
import * as http from 'node:http';
import { EventEmitter } from 'node:events';

import { describe, expect, test } from 'vitest';
import * as https from '../../../src/core/http/index.js';
import { RetryWindow } from '../../../src/decisions/retries/index.js';
import { RepeatRule, type Route } from '../../../src/decisions/fleet-plan/index.js';
import type { RelayContext } from '../../../src/entry/relay/context.js';
import { Exchange } from '../../../src/entry/relay/exchange.js';
import type { ReadRequest } from '../../../src/entry/relay/read-request.js';

const NOW_MS = 1_000;

const ROUTE = {
  name: 'drafts',
  repeat: RepeatRule.idempotent,
  objectiveMs: 400,
  timeoutMs: 4_000,
  callerPatienceMs: 2_000,
  attempts: 2,
  priority: 1,
} as unknown as Route;

function requestFor(model: string | null): ReadRequest {
  return {
    req: { method: 'POST', url: '/drafts', rawHeaders: [] } as unknown as http.IncomingMessage,
    res: new EventEmitter() as unknown as http.ServerResponse,
    facts: {
      id: 'r1',
      deadlineMs: 4_000,
      key: null,
      model,
      adapter: null,
      tokens: null,
      promptParts: [],
      lastEventId: null,
    },
    plan: {} as ReadRequest['plan'],
    route: ROUTE,
    service: 'drafting',
    customer: null,
    body: Buffer.alloc(0),
    arrivedAtMs: NOW_MS,
  };
}

/** A relay in which no server is there for any request. */
function emptyRelay(uses: string[], retries: RetryWindow): RelayContext {
  const partial = {
    retries,
    incidents: { isRefused: () => false },
    clock: { steadyMs: () => NOW_MS },
    dispatcher: { place: async () => ({ run: null, retryAfterMs: 100 }), cancel: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    usualReturnMs: 1_000,
    log: () => undefined,
    replyOwn: () => undefined,
    noteUse: (model: string) => uses.push(model),
  };
  return partial as unknown as RelayContext;
}

describe('a request whose customer can not be confirmed when its turn comes', () => {
  test('is refused at once, and holds nothing against the server', async () => {
    const refusals: string[] = [];
    const run = { server: { id: 's1' }, service: 'drafting', model: 'm1', adapter: null };
    const ended: unknown[] = [];
    const relay = {
      ...emptyRelay([], new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 52 }, 0)),
      dispatcher: { place: async () => ({ run, retryAfterMs: null }), cancel: () => undefined },
      view: { ended: (one: unknown) => ended.push(one) },
      mayRun: () => false,
      replyOwn: (_res: unknown, _id: string, failure: { name: string }) =>
        refusals.push(failure.name),
    } as unknown as RelayContext;
    await new Exchange(relay, requestFor('m1')).serve();
    expect(refusals).toEqual(['KeysUnconfirmed']);
    expect(ended).toEqual([run]);
  });
});

describe('a request that finds no server', () => {
  test('still counts as a use of its model, so that the steward hears of the demand', async () => {
    const uses: string[] = [];
    const relay = emptyRelay(uses, new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 0 }, 0));
    await new Exchange(relay, requestFor('m1')).serve();
    await new Exchange(relay, requestFor(null)).serve();
    expect(uses).toEqual(['m1']);
  });

  test('earns its part of a retry at its service', async () => {
    const retries = new RetryWindow({ ratio: 0.5, windowMs: 10_000, slack: 0 }, 0);
    retries.noteMembers(1);
    const relay = emptyRelay([], retries);
    expect(retries.spend(NOW_MS, 'drafting')).toBe(false);
    const requests = Array.from({ length: 4 }, () => requestFor('m1'));
    await Promise.all(requests.map((request) => new Exchange(relay, request).serve()));
    expect(retries.spend(NOW_MS, 'drafting')).toBe(true);
  });
});

/** A relay that sends every request to the server at `address`, which begins it and says nothing. */
function relayTo(address: string, breaks: string[]): RelayContext {
  const run = { server: { id: 's1', address }, service: 'drafting', model: null, adapter: null };
  return {
    ...emptyRelay([], new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 52 }, 0)),
    clock: { steadyMs: () => performance.now() },
    dispatcher: {
      place: async () => ({ run, retryAfterMs: null }),
      cancel: () => undefined,
      pump: () => undefined,
    },
    view: { ended: () => undefined, candidates: () => [] },
    connections: { agentFor: () => new http.Agent() },
    wire: { encodeRequest: () => ['Host', 'x', 'Content-Length', '0'] },
    mayRun: () => true,
    incidents: {
      isRefused: () => false,
      noteBreak: (_request: unknown, { server: { id } }: typeof run) => breaks.push(id),
    },
  } as unknown as RelayContext;
}

describe('a request whose caller leaves while a server runs it', () => {
  test('leaves its break noted, since the server may end under it', async () => {
    const begun: (() => void)[] = [];
    const server = http.createServer(() => begun.forEach((resolve) => resolve()));
    const address = await https.listen(server, '127.0.0.1:0');
    const breaks: string[] = [];
    const request = { ...requestFor(null), arrivedAtMs: performance.now() };
    const hasBegun = new Promise<void>((resolve) => {
      begun.push(resolve);
    });
    const served = new Exchange(relayTo(address, breaks), request).serve();
    await hasBegun;
    request.res.emit('close');
    await served;
    await https.close(server);
    expect(breaks).toEqual(['s1']);
  });
});

describe('a request that may run only once, and whose server says nothing', () => {
  test('is given up some time after its route has timed out', async () => {
    const server = http.createServer(() => undefined);
    const address = await https.listen(server, '127.0.0.1:0');
    const route = { ...ROUTE, repeat: RepeatRule.once, timeoutMs: 100 };
    const request = { ...requestFor(null), route, arrivedAtMs: performance.now() };
    const breaks: string[] = [];
    await new Exchange(relayTo(address, breaks), request).serve();
    await https.close(server);
    expect(breaks).toEqual(['s1']);
  });
});
