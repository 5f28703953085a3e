/** Estimates of the time to the first token, and the choice of servers by them. */
import { describe, expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import { type Candidate, chooseServer } from '../../../src/decisions/engine-choice/index.js';
import { PaceTable } from '../../../src/decisions/first-token/index.js';

const NONE: ReadonlySet<string> = new Set();

/** The choice by load alone, as it was before paces were learnt. */
function chooseByLoad(candidates: readonly Candidate[], random: () => number): string | undefined {
  return candidates
    .filter(({ running, slots }) => running < Math.max(1, slots * 0.9))
    .map(({ id, running, slots, slowness, dataCentre }) => ({
      id,
      score:
        ((running + 1) / slots) * slowness +
        (dataCentre === 'a' ? 0 : 0.15) +
        slowness -
        1 +
        random() * 0.02,
    }))
    .sort((x, y) => x.score - y.score)[0]?.id;
}

/** Learns from `count` answers of servers whose times are `base + load * u + tokens / rate`. */
function learn(count: number, ratioOf: (server: number) => number, noise = 0.1) {
  const table = new PaceTable();
  const random = createRandom(7);
  Array.from({ length: count }, (_, i) => {
    const utilisation = 0.1 + random.real() * 0.8;
    const newTokens = 200 + random.real() * 3_000;
    const usualMs = 30 + 150 * utilisation + newTokens / 38.4;
    const tookMs = usualMs * ratioOf(i % 6) * (1 + (random.real() - 0.5) * 2 * noise);
    const sample = { server: `s${i % 6}`, utilisation, newTokens, tookMs };
    return table.noteFirstToken(i * 50, 'chat', sample);
  });
  return { table, nowMs: count * 50 };
}

describe('the choice of a server while nothing is learnt', () => {
  test('is that by load, also for slow and remote servers', () => {
    const random = createRandom(3);
    const [expected, chosen] = [createRandom(5), createRandom(5)];
    Array.from({ length: 500 }, () => {
      const candidates = Array.from({ length: 8 }, (_, i) => ({
        id: `s${i}`,
        dataCentre: random.int(0, 3) === 0 ? 'b' : 'a',
        slots: 16,
        running: random.int(0, 16),
        slowness: random.int(0, 5) === 0 ? 2 + random.real() : 1,
      }));
      const context = { dataCentre: 'a', tried: NONE, random: chosen };
      return expect(chooseServer(candidates, context)?.server.id).toBe(
        chooseByLoad(candidates, () => expected.real()),
      );
    });
  });

  test('spreads requests evenly over equal servers', () => {
    const running = Array.from({ length: 8 }, () => 0);
    const random = createRandom(1);
    Array.from({ length: 80 }, () => {
      const candidates = running.map((count, i) => ({
        id: String(i),
        dataCentre: 'a',
        slots: 24,
        running: count,
        slowness: 1,
      }));
      const chosen = chooseServer(candidates, { dataCentre: 'a', tried: NONE, random });
      const at = Number(chosen?.server.id);
      running[at] = (running[at] ?? 0) + 1;
      return chosen;
    });
    expect(Math.max(...running) - Math.min(...running)).toBeLessThanOrEqual(1);
  });
});

describe('the pace of a service', () => {
  test('is unknown before enough answers', () => {
    expect(learn(10, () => 1).table.pace('chat')).toBeNull();
  });

  test('is learnt from answers of different lengths and loads', () => {
    const pace = learn(600, () => 1).table.pace('chat');
    expect(pace?.tokensPerMs).toBeGreaterThan(33);
    expect(pace?.tokensPerMs).toBeLessThan(44);
    expect(pace?.loadMs).toBeGreaterThan(120);
    expect(pace?.loadMs).toBeLessThan(180);
  });

  test('does not follow single answers that took very long', () => {
    const { table } = learn(600, () => 1);
    const before = table.pace('chat')?.baseMs ?? 0;
    table.noteFirstToken(40_000, 'chat', {
      server: 's1',
      utilisation: 0.5,
      newTokens: 700,
      tookMs: 60_000,
    });
    expect((table.pace('chat')?.baseMs ?? 0) - before).toBeLessThan(20);
  });
});

describe('servers of unequal speed', () => {
  const IDS = ['s0', 's1', 's2', 's3', 's4', 's5'];

  test('are recognised when a third of them are 1.3 times as slow', () => {
    const { table, nowMs } = learn(300, (server) => (server < 2 ? 1.3 : 1));
    const ratios = table.speedRatios(nowMs, IDS);
    expect([...ratios.keys()].sort()).toEqual(['s0', 's1']);
    ratios.forEach((ratio) => expect(ratio).toBeGreaterThan(1.15));
  });

  test('are not told apart by chance if they are equal', () => {
    const { table, nowMs } = learn(300, () => 1, 0.3);
    expect(table.speedRatios(nowMs, IDS).size).toBe(0);
  });

  test('are forgotten some minutes after their last answers', () => {
    const { table, nowMs } = learn(300, (server) => (server < 2 ? 1.3 : 1));
    expect(table.speedRatios(nowMs + 600_000, IDS).size).toBe(0);
  });
});
