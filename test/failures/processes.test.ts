/** Entry VM processes that are killed, frozen and replaced while callers send requests. */
import { createHash } from 'node:crypto';
import * as undici from 'undici';
import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import * as clock from '../../src/core/clock/index.js';
import { digestOf } from '../../src/entry/gateway/authenticate.js';
import {
  callControlEndpoint,
  type EntryVm,
  Fleet,
  type FleetSpec,
} from '../../src/lab/fleet/index.js';
import { completionOf, type EngineCounters } from '../../src/standins/engine/index.js';
import type { ServiceCounters } from '../../src/standins/service/index.js';

const KEY = 'bsk_test_processes';
const spec: FleetSpec = {
  dataCentres: ['a', 'b'],
  entryVms: 2,
  engines: [
    { id: 'fenced', dataCentre: 'a', fencing: true, memoryMb: 40_000, slots: 8 },
    { id: 'unfenced', dataCentre: 'a', fencing: false, memoryMb: 40_000, slots: 8 },
    { id: 'far', dataCentre: 'b', fencing: true, memoryMb: 40_000, slots: 8 },
  ],
  services: [
    { name: 'desk', dataCentre: 'a' },
    { name: 'desk', dataCentre: 'b' },
  ],
  weightsMbPerS: 40_000,
  tokenMs: 2,
};
/** Makes a response take longer than the notice period of a stop. */
const LONG_RESPONSE_TOKENS = 400;
const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4', 'm5'];

interface Status {
  readonly steward: string | null;
  readonly self: { readonly vm: string };
}

interface Result {
  readonly status: number;
  readonly text: string;
  readonly ran: string | undefined;
}

describe('processes', () => {
  let fleet: Fleet;
  const agent = new undici.Agent({ connections: 32 });

  beforeAll(async () => {
    fleet = await Fleet.start(spec, [
      { path: '/services/drafting', values: { kind: 'model', deadlineMs: 20_000 } },
      { path: '/services/desk', values: { kind: 'plain', deadlineMs: 5_000 } },
      ...MODELS.map((name) => ({
        path: `/services/drafting/models/${name}`,
        values: { bytesMb: 16_000 },
      })),
      { path: '/customers/c', values: { ratePerS: 100_000, burst: 400_000 } },
      { path: '/customers/c/keys/k', values: { sha256: digestOf(KEY) } },
    ]);
    await fleet.settle();
  });

  afterAll(async () => {
    await fleet.stop();
    await agent.destroy();
  });

  const send = async (
    entry: EntryVm,
    path: string,
    body: object,
    headers: Record<string, string> = {},
  ): Promise<Result> => {
    const res = await undici.request(`http://${entry.process.started.callersAddress}${path}`, {
      dispatcher: agent,
      method: 'POST',
      body: JSON.stringify(body),
      headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers },
    });
    const ran = res.headers['x-bilberrystand-ran'];
    const text = await res.body.text();
    return { status: res.statusCode, text, ran: typeof ran === 'string' ? ran : undefined };
  };

  const complete = (entry: EntryVm, model: string, prompt: string, tokens = 10) =>
    send(entry, '/v1/completions', { model, prompt, max_tokens: tokens });

  const isComplete = ({ status, text }: Result, prompt: string, tokens: number): boolean => {
    if (status !== 200) return false;
    const { choices } = JSON.parse(text) as { choices: { text: string }[] };
    return choices[0]?.text === completionOf(prompt, tokens);
  };

  const engineCounters = () =>
    Promise.all(
      [...fleet.engines.values()].map(({ started }) =>
        callControlEndpoint<EngineCounters>(started.address ?? '', '/_counters'),
      ),
    );

  /** The steward that an entry VM reports for its data centre. */
  const stewardKnownTo = async (entry: EntryVm): Promise<EntryVm | undefined> => {
    const status = await callControlEndpoint<Status>(
      entry.process.started.adminAddress ?? '',
      '/status',
    );
    return fleet.entries.find(({ id }) => id === status.steward);
  };

  test('a steward that resumes after its lease expired causes no duplicate load and no overcommit', async () => {
    const before = (await engineCounters()).reduce(
      (sum, { loadsStarted }) => sum + loadsStarted,
      0,
    );
    const members = fleet.entries.filter(({ dataCentre }) => dataCentre === 'a');
    const steward = await stewardKnownTo(members[0] as EntryVm);
    const other = members.find((entry) => entry !== steward);
    if (steward === undefined || other === undefined) throw new Error('no steward or other member');
    const first = MODELS.slice(0, 3).map((model) => complete(other, model, `freeze ${model}`));
    await clock.sleep(50);
    steward.process.signal('SIGSTOP');
    const answers = await Promise.all(first);
    await fleet.until('another entry VM is steward', 15_000, async () => {
      const next = await stewardKnownTo(other);
      return next !== undefined && next !== steward;
    });
    const second = await Promise.all(
      MODELS.slice(3).map((model) => complete(other, model, `freeze ${model}`)),
    );
    steward.process.signal('SIGCONT');
    await fleet.settle();
    const counters = await engineCounters();
    const loads = counters.reduce((sum, { loadsStarted }) => sum + loadsStarted, 0) - before;
    expect([...answers, ...second].map(({ status }) => status)).toEqual(MODELS.map(() => 200));
    expect(counters.map(({ overcommits }) => overcommits)).toEqual([0, 0, 0]);
    // Each engine has room for two of the six models, and each model is loaded once.
    expect(loads).toBe(MODELS.length);
  });

  test('orders in flight when their entry VM is killed run at most once, even if retried elsewhere', async () => {
    const killedEntry = await fleet.addEntry('a');
    await fleet.until('the new entry VM is ready', 10_000, async () => {
      const { statusCode, body } = await undici.request(
        `http://${killedEntry.process.started.adminAddress}/readyz`,
      );
      await body.dump();
      return statusCode === 200;
    });
    const names = Array.from({ length: 60 }, (_, index) => `kill-${index}`);
    const headersOf = (name: string) => ({ 'idempotency-key': name });
    const order = (entry: EntryVm, name: string) =>
      send(entry, '/services/desk/orders', { order: name }, headersOf(name));
    const sent = names.map(async (name, index) => {
      await clock.sleep(index * 5);
      return order(killedEntry, name).catch(() => null);
    });
    await clock.sleep(150);
    killedEntry.process.signal('SIGKILL');
    fleet.removeEntry(killedEntry);
    await fleet.publishVms();
    await Promise.all(sent);
    const retries = await Promise.all(
      names.map((name, index) =>
        order(fleet.entries[index % fleet.entries.length] as EntryVm, name),
      ),
    );
    const counters = await Promise.all(
      fleet.services.map(({ started }) =>
        callControlEndpoint<ServiceCounters>(started.address ?? '', '/_counters'),
      ),
    );
    const runsOf = (name: string) => counters.reduce((sum, { runs }) => sum + (runs[name] ?? 0), 0);
    const twice = names.filter((name) => runsOf(name) > 1);
    const misreported = names.filter(
      (name, index) =>
        (retries[index]?.status === 201 && runsOf(name) !== 1) ||
        (retries[index]?.ran === 'no' && runsOf(name) > 0),
    );
    expect(twice).toEqual([]);
    expect(misreported).toEqual([]);
    expect(retries.filter((retry) => retry.status === 201).length).toBeGreaterThan(0);
  });

  test('replacing all entry VMs under load cuts off no request', async () => {
    let running = true;
    const results: boolean[] = [];
    const failures: string[] = [];
    const caller = async (callerIndex: number): Promise<void> => {
      for (let index = 0; running; index += 1) {
        const entry = fleet.entries[(callerIndex + index) % fleet.entries.length];
        if (entry === undefined) continue;
        const prompt = createHash('sha256').update(`${callerIndex} ${index}`).digest('hex');
        try {
          const result = await complete(
            entry,
            MODELS[callerIndex % 2] ?? 'm0',
            prompt,
            LONG_RESPONSE_TOKENS,
          );
          const isResultComplete = isComplete(result, prompt, LONG_RESPONSE_TOKENS);
          results.push(isResultComplete);
          if (!isResultComplete) failures.push(result.text);
        } catch (err) {
          failures.push(`${entry.id}: ${String(err)}`);
        }
      }
    };
    const callers = Promise.all(Array.from({ length: 8 }, (_, callerIndex) => caller(callerIndex)));
    const old = [...fleet.entries];
    await old.reduce(
      (before, entry) =>
        before.then(async () => {
          await fleet.addEntry(entry.dataCentre);
          await fleet.until('the replacement is ready', 10_000, async () => {
            const newest = fleet.entries.at(-1)?.process.started.adminAddress ?? '';
            const { statusCode, body } = await undici.request(`http://${newest}/readyz`);
            await body.dump();
            return statusCode === 200;
          });
          // The load balancer stops sending callers to a VM that is not ready.
          entry.process.signal('SIGTERM');
          await clock.sleep(100);
          fleet.removeEntry(entry);
          await entry.process.exited;
          await fleet.publishVms();
        }),
      Promise.resolve(),
    );
    running = false;
    await callers;
    const codes = await Promise.all(old.map(({ process: entry }) => entry.exited));
    expect(failures).toEqual([]);
    expect(results.length).toBeGreaterThan(0);
    expect(codes).toEqual(old.map(() => 0));
  });
});
