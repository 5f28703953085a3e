/** What servers are believed to keep of prompts, and when that is forgotten. */
import { describe, expect, test } from 'vitest';
import { createRandom } from '../../../src/core/random/index.js';
import { chooseServer, PromptReason } from '../../../src/decisions/engine-choice/index.js';
import { describePrompt, PromptCache } from '../../../src/decisions/prompt-cache/index.js';

const SERVER = { id: 's1', bornMs: 1 };
const PACE = { baseMs: 20, loadMs: 100, tokensPerMs: 38.4 };

function promptOf(ids: readonly string[], target = ['chat', 'm', null] as (string | null)[]) {
  const shared = ids.map((id) => ({ id, tokens: 1_000 }));
  return describePrompt(target, [...shared, { id: 'own', tokens: 100 }], null);
}

function noted(...prompts: readonly ReturnType<typeof promptOf>[]) {
  const cache = new PromptCache();
  const sizes = { ownTokens: 100, capacityTokens: 3_500, members: 2 };
  prompts.forEach((prompt) => cache.note(SERVER, 'm', prompt, sizes));
  return cache;
}

describe('a prompt that a server has processed', () => {
  test('is kept from its first segment on, for the same model and adapter', () => {
    const cache = noted(promptOf(['a', 'b']));
    expect(cache.keptTokens(SERVER, promptOf(['a', 'b']))).toBe(2_000);
    expect(cache.keptTokens(SERVER, promptOf(['a', 'c']))).toBe(1_000);
    expect(cache.keptTokens(SERVER, promptOf(['b', 'a']))).toBe(0);
    expect(cache.keptTokens(SERVER, promptOf(['a', 'b'], ['chat', 'm', 'x']))).toBe(0);
    expect(cache.keptTokens({ ...SERVER, id: 's2' }, promptOf(['a', 'b']))).toBe(0);
  });

  test('is evicted when others need its memory, its end before its beginning', () => {
    const cache = noted(promptOf(['a', 'b']), promptOf(['c']));
    expect(cache.keptTokens(SERVER, promptOf(['a', 'b']))).toBe(2_000);
    cache.note(SERVER, 'm', promptOf(['d']), {
      ownTokens: 100,
      capacityTokens: 3_500,
      members: 2,
    });
    expect(cache.keptTokens(SERVER, promptOf(['a', 'b']))).toBe(1_000);
    expect(cache.keptTokens(SERVER, promptOf(['d']))).toBe(1_000);
  });

  test('is gone after a restart of its server', () => {
    const cache = noted(promptOf(['a']));
    expect(cache.keptTokens({ ...SERVER, bornMs: 2 }, promptOf(['a']))).toBe(0);
  });

  test('is gone after an unload of its model, also if the model is loaded again', () => {
    const cache = noted(promptOf(['a']));
    cache.retainModels(SERVER, new Set(['other']));
    cache.retainModels(SERVER, new Set(['m']));
    expect(cache.keptTokens(SERVER, promptOf(['a']))).toBe(0);
  });

  test('saves nothing from the first segment of unknown length on', () => {
    const segments = [
      { id: 'a', tokens: 50 },
      { id: 'b', tokens: null },
      { id: 'c', tokens: 70 },
      { id: 'own', tokens: 5 },
    ];
    expect(describePrompt(['chat'], segments, 500)).toMatchObject({
      tokens: 500,
      sharedTokens: 50,
    });
  });

  test('is remembered within a bound', () => {
    const cache = new PromptCache();
    const prompts = Array.from({ length: 600 }, (_, i) =>
      describePrompt(
        ['chat'],
        [
          { id: `a${i}`, tokens: 1 },
          { id: 'own', tokens: 1 },
        ],
        null,
      ),
    );
    const sizes = { ownTokens: 1, capacityTokens: 1_000_000, members: 1 };
    prompts.forEach((prompt) => cache.note(SERVER, 'm', prompt, sizes));
    const kept = prompts.filter((prompt) => cache.keptTokens(SERVER, prompt) > 0);
    expect(kept.length).toBeLessThanOrEqual(256);
  });
});

describe('the choice between servers', () => {
  const IDS = ['s1', 's2', 's3', 's4', 's5', 's6'];
  const choose = (
    prompt: ReturnType<typeof promptOf>,
    states: Readonly<Record<string, { running?: number; keptTokens?: number }>> = {},
    seed = 1,
  ) =>
    chooseServer(
      IDS.map((id) => ({ id, dataCentre: 'a', slots: 16, running: 4, slowness: 1, ...states[id] })),
      { dataCentre: 'a', tried: new Set(), random: createRandom(seed), pace: PACE, prompt },
    );

  test('is the same at all entry VMs for prompts that begin in the same way', () => {
    const prompt = promptOf(['a', 'b']);
    const ids = [1, 2, 3, 4, 5].map((seed) => choose(prompt, {}, seed)?.server.id);
    expect(new Set(ids).size).toBe(1);
    const others = Array.from({ length: 20 }, (_, i) => choose(promptOf([`x${i}`]))?.server.id);
    expect(new Set(others).size).toBeGreaterThan(3);
  });

  test('stays the same while a conversation grows by less than half', () => {
    const turns = ['a', 'b', 'c', 'd', 'e', 'f'];
    const early = choose(promptOf(turns.slice(0, 5)))?.server.id;
    expect(choose(promptOf(turns))?.server.id).toBe(early);
  });

  test('weighs the time that a kept prompt saves against the wait', () => {
    const prompt = promptOf(['a']);
    const id = choose(prompt)?.server.id ?? '';
    const keptAt = (running: number) => choose(prompt, { [id]: { running, keptTokens: 1_000 } });
    // 1,000 tokens save 26 ms, which is the wait of about four more running requests.
    expect(keptAt(7)).toMatchObject({ server: { id }, promptReason: PromptReason.kept });
    expect(keptAt(9)?.server.id).not.toBe(id);
  });

  test('does not fall on a server without a free slot, whatever it keeps', () => {
    const long = promptOf(Array.from({ length: 12 }, (_, i) => `a${i}`));
    const chosen = choose(long, { s1: { running: 15, keptTokens: 12_000 } });
    expect(chosen?.server.id).not.toBe('s1');
  });
});
