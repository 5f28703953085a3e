/** Servers of one model and the entry VMs that choose among them, on virtual time. */
import { createRandom } from '../../src/core/random/index.js';
import {
  type Candidate,
  chooseServer,
  PromptReason,
} from '../../src/decisions/engine-choice/index.js';
import { type Pace, PaceTable } from '../../src/decisions/first-token/index.js';
import {
  describePrompt,
  type Prompt,
  PromptCache,
} from '../../src/decisions/prompt-cache/index.js';

/** Pace of the servers; see the load figures of the two deployments. */
export const TRUE_PACE: Pace = { baseMs: 20, loadMs: 60, tokensPerMs: 38.4 };

const SERVICE = 'chat';
const MODEL = 'm';
const NONE: ReadonlySet<string> = new Set();

export interface FleetOptions {
  readonly vms: number;
  readonly servers: number;
  readonly slots: number;
  readonly memoryTokens: number;
  readonly requestsPerS: number;
  readonly seconds: number;
  /** Time from the first token to the end of a run, ms. */
  readonly streamMs: number;
  /** Beginnings of prompts, of which each request has one, and the tokens of each. */
  readonly documents: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  /** Duration at a server as a multiple of the usual. */
  ratioOf(server: number): number;
  /** Whether the choice uses kept prompts, and what is learnt of paces. */
  readonly usesPrompts: boolean;
  readonly usesPaces: boolean;
}

/** A server with its own cache of prompts, which processes one prompt at a time. */
class ReplayedServer {
  private readonly cache = new PromptCache();

  private readonly endsAtMs: number[] = [];

  private promptsUntilMs = 0;

  readonly server: { readonly id: string; readonly bornMs: number };

  constructor(
    readonly at: number,
    private readonly opts: FleetOptions,
  ) {
    this.server = { id: `s${at}`, bornMs: 1 };
  }

  running(nowMs: number): number {
    return this.endsAtMs.filter((endMs) => endMs > nowMs).length;
  }

  /** Runs a request; returns its time to the first token, ms. */
  run(nowMs: number, prompt: Prompt): number {
    const { memoryTokens, streamMs, slots } = this.opts;
    const ratio = this.opts.ratioOf(this.at);
    const newTokens = prompt.tokens - this.cache.keptTokens(this.server, prompt);
    const ownTokens = prompt.tokens - prompt.sharedTokens;
    this.cache.note(this.server, MODEL, prompt, {
      ownTokens,
      capacityTokens: memoryTokens,
      members: 1,
    });
    const utilisation = (this.running(nowMs) + 1) / slots;
    const processedAtMs =
      Math.max(nowMs, this.promptsUntilMs) + (newTokens / TRUE_PACE.tokensPerMs) * ratio;
    this.promptsUntilMs = processedAtMs;
    const firstMs =
      processedAtMs - nowMs + (TRUE_PACE.baseMs + TRUE_PACE.loadMs * utilisation) * ratio;
    this.endsAtMs.push(nowMs + firstMs + streamMs * ratio);
    return firstMs;
  }
}

export interface ReplayResult {
  readonly meanMs: number;
  readonly p95Ms: number;
  /** Requests that found no free slot. */
  readonly refused: number;
  readonly largestRunning: number;
}

/** Replays the requests of a fleet of entry VMs that know each other's running requests. */
export function replayFleet(opts: FleetOptions): ReplayResult {
  const random = createRandom(11);
  const servers = Array.from({ length: opts.servers }, (_, i) => new ReplayedServer(i, opts));
  const vms = Array.from({ length: opts.vms }, () => ({
    cache: new PromptCache(),
    paces: new PaceTable(),
  }));
  const ids = servers.map(({ server }) => server.id);
  const firstMs: number[] = [];
  const counts = { refused: 0, largestRunning: 0 };
  const endMs = opts.seconds * 1_000;
  for (
    let nowMs = 0, i = 0;
    nowMs < endMs;
    nowMs += random.exponential(1_000 / opts.requestsPerS), i += 1
  ) {
    const vm = random.pick(vms) ?? vms[0];
    if (vm === undefined) break;
    const { cache, paces } = vm;
    const segments = [
      { id: `document ${random.int(1, opts.documents)}`, tokens: opts.sharedTokens },
      { id: `request ${i}`, tokens: opts.ownTokens },
    ];
    const prompt = describePrompt([SERVICE, MODEL, null], segments, null);
    const ratios = paces.speedRatios(nowMs, ids);
    const candidates: readonly Candidate[] = servers.map((one) => ({
      id: one.server.id,
      dataCentre: 'a',
      slots: opts.slots,
      running: one.running(nowMs),
      slowness: 1,
      speedRatio: opts.usesPaces ? (ratios.get(one.server.id) ?? 1) : 1,
      keptTokens: opts.usesPrompts ? cache.keptTokens(one.server, prompt) : 0,
    }));
    const choice = chooseServer(candidates, {
      dataCentre: 'a',
      tried: NONE,
      random,
      pace: opts.usesPaces ? paces.pace(SERVICE) : null,
      prompt: opts.usesPrompts ? prompt : undefined,
    });
    const chosen = servers.find(({ server }) => server.id === choice?.server.id);
    if (choice === null || chosen === undefined) {
      counts.refused += 1;
    } else {
      const tookMs = chosen.run(nowMs, prompt);
      const keptTokens = choice.server.keptTokens ?? 0;
      const utilisation = (choice.server.running + 1) / opts.slots;
      const newTokens = prompt.tokens - keptTokens;
      // Answers arrive later than this, which the replay leaves out.
      if (choice.promptReason !== PromptReason.preferred) {
        const { id: server } = choice.server;
        paces.noteFirstToken(nowMs, SERVICE, { server, utilisation, newTokens, tookMs });
      }
      cache.note(chosen.server, MODEL, prompt, {
        ownTokens: opts.ownTokens,
        capacityTokens: opts.memoryTokens,
        members: opts.vms,
      });
      firstMs.push(tookMs);
      counts.largestRunning = Math.max(counts.largestRunning, chosen.running(nowMs));
    }
  }
  const sorted = [...firstMs].sort((a, b) => a - b);
  return {
    meanMs: sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length,
    p95Ms: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
    ...counts,
  };
}
