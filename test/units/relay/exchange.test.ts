/** Effects of a request on demand, the retry budget and incidents, however it ends. */
import * as http from 'node:http';
import { EventEmitter, once } from 'node:events';

import { describe, expect, test } from 'vitest';
import * as errors from '../../../src/core/errors/index.js';
import * as https from '../../../src/core/http/index.js';
import { RetryWindow } from '../../../src/decisions/retries/index.js';
import { RetrySafety, type Route } from '../../../src/decisions/fleet-plan/index.js';
import type { RelayContext } from '../../../src/entry/relay/context.js';
import { sendLocalResponse } from '../../../src/entry/relay/caller-server.js';
import { Exchange } from '../../../src/entry/relay/exchange.js';
import { WorkTurns } from '../../../src/entry/relay/work-turns.js';
import { createResponseMemory } from './response-memory.js';
import type { RoutedRequest } from '../../../src/entry/relay/routed-request.js';

const NOW_MS = 1_000;

const ROUTE = {
  name: 'drafts',
  retrySafety: RetrySafety.idempotent,
  objectiveMs: 400,
  timeoutMs: 4_000,
  callerTimeoutMs: 2_000,
  attempts: 2,
  priority: 1,
} as unknown as Route;

function requestFor(model: string | null): RoutedRequest {
  return {
    req: { method: 'POST', url: '/drafts', rawHeaders: [] } as unknown as http.IncomingMessage,
    res: new EventEmitter() as unknown as http.ServerResponse,
    metadata: {
      id: 'r1',
      deadlineMs: 4_000,
      key: null,
      model,
      adapter: null,
      tokens: null,
      promptSegments: [],
      lastEventId: null,
      begunBy: null,
    },
    plan: { services: new Map() } as unknown as RoutedRequest['plan'],
    route: ROUTE,
    service: 'drafting',
    customer: null,
    body: Buffer.alloc(0),
    arrivedAtMs: NOW_MS,
  };
}

/** A relay that has no backend server for any request. */
function relayWithoutServers(uses: string[], retries: RetryWindow): RelayContext {
  const partial = {
    retries,
    incidents: { isRefused: () => false, watch: () => () => undefined },
    reachability: { isReached: async () => true },
    throttling: { noteSent: () => undefined, noteResponse: () => undefined },
    firstTokens: { noteFirstToken: () => undefined, noteRun: () => undefined },
    clock: { steadyMs: () => NOW_MS },
    dispatcher: { place: async () => ({ run: null, retryAfterMs: 100 }), cancel: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    defaultRetryAfterMs: 1_000,
    log: () => undefined,
    sendLocalResponse: () => undefined,
    recordModelUse: (model: string) => uses.push(model),
  };
  return partial as unknown as RelayContext;
}

describe('a request whose customer key is no longer confirmed when it is placed', () => {
  test('is refused, and its run at the server is ended', async () => {
    const refusals: string[] = [];
    const run = { server: { id: 's1' }, service: 'drafting', model: 'm1', adapter: null };
    const ended: unknown[] = [];
    const relay = {
      ...relayWithoutServers([], new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 52 }, 0)),
      dispatcher: { place: async () => ({ run, retryAfterMs: null }), cancel: () => undefined },
      view: { ended: (endedRun: unknown) => ended.push(endedRun) },
      hasFreshKeys: () => false,
      sendLocalResponse: (_res: unknown, _id: string, failure: { name: string }) =>
        refusals.push(failure.name),
    } as unknown as RelayContext;
    await new Exchange(relay, requestFor('m1')).serve();
    expect(refusals).toEqual(['KeysUnconfirmed']);
    expect(ended).toEqual([run]);
  });
});

describe('a request without an available server', () => {
  test('still counts as a use of its model, so that the demand is reported to the steward', async () => {
    const uses: string[] = [];
    const relay = relayWithoutServers(
      uses,
      new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 0 }, 0),
    );
    await new Exchange(relay, requestFor('m1')).serve();
    await new Exchange(relay, requestFor(null)).serve();
    expect(uses).toEqual(['m1']);
  });

  test('adds to the retry budget of its service', async () => {
    const retries = new RetryWindow({ ratio: 0.5, windowMs: 10_000, slack: 0 }, 0);
    retries.noteMembers(1);
    const relay = relayWithoutServers([], retries);
    expect(retries.spend(NOW_MS, 'drafting')).toBe(false);
    const requests = Array.from({ length: 4 }, () => requestFor('m1'));
    await Promise.all(requests.map((request) => new Exchange(relay, request).serve()));
    expect(retries.spend(NOW_MS, 'drafting')).toBe(true);
  });
});

/** A relay that sends all requests to the server at `address` and records cut-off runs. */
function relayTo(address: string, cutOffServers: string[]): RelayContext {
  const run = { server: { id: 's1', address }, service: 'drafting', model: null, adapter: null };
  return {
    ...relayWithoutServers([], new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 52 }, 0)),
    clock: { steadyMs: () => performance.now() },
    dispatcher: {
      place: async () => ({ run, retryAfterMs: null }),
      cancel: () => undefined,
      schedulePlacement: () => undefined,
    },
    view: { ended: () => undefined, candidates: () => [] },
    connections: { agentFor: () => new http.Agent() },
    peers: { waysTo: () => null },
    memory: createResponseMemory(1_048_576),
    turns: new WorkTurns(),
    wire: { encodeRequest: () => ['Host', 'x', 'Content-Length', '0'] },
    hasFreshKeys: () => true,
    incidents: {
      isRefused: () => false,
      watch: () => () => undefined,
      noteCutOff: (_request: unknown, { server: { id } }: typeof run) => cutOffServers.push(id),
    },
  } as unknown as RelayContext;
}

describe('a request whose caller disconnects while a server runs it', () => {
  test('is recorded as a broken run, since it may still crash the server', async () => {
    const begun: (() => void)[] = [];
    const server = http.createServer(() => begun.forEach((resolve) => resolve()));
    const address = await https.listen(server, '127.0.0.1:0');
    const cutOffServers: string[] = [];
    const request = { ...requestFor(null), arrivedAtMs: performance.now() };
    const hasBegun = new Promise<void>((resolve) => {
      begun.push(resolve);
    });
    const served = new Exchange(relayTo(address, cutOffServers), request).serve();
    await hasBegun;
    request.res.emit('close');
    await served;
    await https.close(server);
    expect(cutOffServers).toEqual(['s1']);
  });
});

// After a wait in the VM, a server once got an order whose caller had given it up.
describe('a request whose deadline has passed before it begins', () => {
  test('is refused, and is not placed', async () => {
    const refusals: string[] = [];
    const uses: string[] = [];
    const relay = {
      ...relayWithoutServers(uses, new RetryWindow({ ratio: 0.2, windowMs: 10_000, slack: 0 }, 0)),
      sendLocalResponse: (_res: unknown, _id: string, failure: { name: string }) =>
        refusals.push(failure.name),
    } as unknown as RelayContext;
    const request = { ...requestFor('m1'), arrivedAtMs: NOW_MS - ROUTE.timeoutMs };
    await new Exchange(relay, request).serve();
    expect(refusals).toEqual(['NoCapacity']);
    expect(uses).toEqual([]);
  });
});

// The deadlines of 500 streams once passed in one turn, which lasted for 0.5 s: all were aborted in it.
describe('a request whose deadline passes while a server runs it', () => {
  test('is answered at once, and aborted in a later turn', async () => {
    const server = http.createServer(() => undefined);
    const address = await https.listen(server, '127.0.0.1:0');
    const cutOffServers: string[] = [];
    const works: (() => void)[] = [];
    const answer = new EventEmitter();
    const answered = once(answer, 'sent');
    const relay = {
      ...relayTo(address, cutOffServers),
      turns: { cleanUpLater: (work: () => void) => works.push(work) },
      sendLocalResponse: () => answer.emit('sent'),
    } as unknown as RelayContext;
    const route = { ...ROUTE, timeoutMs: 100 };
    const request = { ...requestFor(null), route, arrivedAtMs: performance.now() };
    const served = new Exchange(relay, request).serve();
    await answered;
    expect(cutOffServers).toEqual([]);
    works.forEach((work) => work());
    await served;
    await https.close(server);
    expect(works).toHaveLength(1);
    expect(cutOffServers).toEqual(['s1']);
  });
});

describe('a run-once request whose server does not respond', () => {
  test('is aborted some time after the route timeout', async () => {
    const server = http.createServer(() => undefined);
    const address = await https.listen(server, '127.0.0.1:0');
    const route = { ...ROUTE, retrySafety: RetrySafety.once, timeoutMs: 100 };
    const request = { ...requestFor(null), route, arrivedAtMs: performance.now() };
    const cutOffServers: string[] = [];
    await new Exchange(relayTo(address, cutOffServers), request).serve();
    await https.close(server);
    expect(cutOffServers).toEqual(['s1']);
  });
});

/** Status that a caller gets whose request is served by `serve`; null without an answer. */
async function statusOf(serve: (res: http.ServerResponse) => void): Promise<number | null> {
  const front = http.createServer((_req, res) => serve(res));
  const address = await https.listen(front, '127.0.0.1:0');
  const status = await new Promise<number | null>((resolve) => {
    const req = http.get(`http://${address}/`, { agent: false }, (res) => {
      const { statusCode = null } = res;
      res.on('data', () => undefined);
      res.on('end', () => resolve(res.complete ? statusCode : null));
      res.on('error', () => resolve(null));
    });
    req.on('error', () => resolve(null));
  });
  await https.close(front);
  return status;
}

// Its connection was closed without an answer.
describe('a request of which a handler throws an exception', () => {
  /** A relay in which the first request to cancel a wait throws: at the end of a request's time. */
  function faultyRelay(address: string, run: 'runs' | 'waits'): RelayContext {
    let isThrown = false;
    const relay = relayTo(address, []);
    const { place } = relay.dispatcher;
    const neverPlaced = once(new EventEmitter(), 'placed');
    return {
      ...relay,
      reportException: () => undefined,
      dispatcher: {
        ...relay.dispatcher,
        place: run === 'runs' ? place : () => neverPlaced,
        cancel: () => {
          if (isThrown) return;
          isThrown = true;
          throw new Error('faulty');
        },
      },
      sendLocalResponse: (
        res: http.ServerResponse,
        _id: string,
        failure: Parameters<typeof sendLocalResponse>[2],
      ) => sendLocalResponse(res, [], failure, null, false),
    } as unknown as RelayContext;
  }

  const CASES = [
    ['runs', 502],
    ['waits', 503],
  ] as const;
  CASES.forEach(([run, expected]) => {
    test(`gets an answer while it ${run}`, async () => {
      const server = http.createServer(() => undefined);
      const address = await https.listen(server, '127.0.0.1:0');
      const relay = faultyRelay(address, run);
      const route = { ...ROUTE, timeoutMs: 100 };
      const status = await statusOf((res) => {
        const request = { ...requestFor(null), res, route, arrivedAtMs: performance.now() };
        void new Exchange(relay, request).serve();
      });
      await https.close(server);
      expect(status).toBe(expected);
    });
  });

  test('keeps the answer that it already has', async () => {
    const failure = errors.createFailure(errors.data.BackendFailed, 'relay', 'drafts');
    const status = await statusOf((res) => {
      res.end(Buffer.alloc(4_194_304));
      sendLocalResponse(res, [], failure, null, false);
    });
    expect(status).toBe(200);
  });
});
