/** Stand-in for a model engine: completions, engine orders and inventory. */
import { createHash } from 'node:crypto';
import type * as http from 'node:http';
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';
import { EngineMemory, type OrderBody } from './memory.js';
import type { EngineFaults, EngineOptions } from './types.js';

export type * from './types.js';

const KEY_PATTERN = /bsk_[A-Za-z0-9_-]+/g;

interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: string }[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly resume_from?: number;
}

function promptOf(body: CompletionBody): string {
  return body.prompt ?? (body.messages ?? []).map((message) => message.content).join('\n');
}

/** Token `index` of the completion of `prompt`; deterministic, so tests can check responses. */
export function tokenAt(prompt: string, index: number): string {
  const digest = createHash('sha256').update(prompt).digest('hex').slice(0, 6);
  return `${digest}.${index} `;
}

/** The expected completion of `prompt` with `tokens` tokens. */
export function completionOf(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => tokenAt(prompt, index)).join('');
}

class EngineStandin {
  readonly faults: EngineFaults = {
    crashMarker: '',
    crashAfterMs: 0,
    crashDownMs: 500,
    cutAfterTokens: 0,
    cutCleanly: false,
    crossAnswers: 0,
    failLoads: 0,
    slowMs: 0,
    orderDelayMs: 0,
    leaving: false,
  };

  private readonly memory: EngineMemory;

  private readonly counts = { requests: 0, crashes: 0, cancelled: 0 };

  private readonly headersSeen = new Set<string>();

  private readonly keysSeen = new Set<string>();

  private running = 0;

  private readonly waiting: (() => void)[] = [];

  private server: standinHttp.StandinServer | null = null;

  constructor(private readonly opts: EngineOptions) {
    this.memory = new EngineMemory(opts);
  }

  attach(server: standinHttp.StandinServer): void {
    this.server = server;
  }

  async handle(req: standinHttp.StandinRequest, res: http.ServerResponse): Promise<void> {
    if (standinHttp.handleControl(req, res, this.faults, () => this.counters())) return;
    const { pathname } = req.url;
    if (pathname === '/inventory') standinHttp.sendJson(res, 200, this.inventory());
    else if (pathname === '/orders') await this.handleOrder(req, res);
    else if (pathname.startsWith('/v1/')) await this.complete(req, res);
    else standinHttp.sendJson(res, 404, { error: 'no such path' });
  }

  private counters(): unknown {
    return {
      engineId: this.opts.engineId,
      ...this.counts,
      ...this.memory.counts,
      loadsRunning: this.memory.loading,
      memoryMb: this.memory.usedMb,
      headersSeen: [...this.headersSeen],
      keysSeen: [...this.keysSeen],
    };
  }

  private inventory(): unknown {
    return {
      engineId: this.opts.engineId,
      memoryMb: this.opts.memoryMb,
      slots: this.opts.slots,
      load: this.running + this.waiting.length,
      leaving: this.faults.leaving,
      replicas: [...this.memory.replicas.values()],
      checkpoints: { disk: this.memory.checkpointsOnDisk, memory: [] },
    };
  }

  private async handleOrder(
    req: standinHttp.StandinRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    const order = JSON.parse(req.body.toString('utf8')) as OrderBody;
    if (this.faults.orderDelayMs > 0) await clock.sleep(this.faults.orderDelayMs);
    const failLoad = this.faults.failLoads > 0 && order.action === 'load';
    if (failLoad) this.faults.failLoads -= 1;
    standinHttp.sendJson(res, this.memory.applyOrder(order, failLoad), {});
  }

  private async complete(req: standinHttp.StandinRequest, res: http.ServerResponse): Promise<void> {
    this.note(req);
    const body = JSON.parse(req.body.toString('utf8')) as CompletionBody;
    const prompt = promptOf(body);
    if (this.faults.crashMarker !== '' && prompt.includes(this.faults.crashMarker)) {
      await clock.sleep(this.faults.crashAfterMs);
      await this.crash();
      return;
    }
    if (!this.memory.isLoaded(body.model)) {
      standinHttp.sendJson(res, 409, { error: 'not loaded' });
      return;
    }
    await this.acquireSlot();
    let isDisconnected = false;
    res.once('close', () => {
      isDisconnected = !res.writableFinished;
    });
    try {
      await clock.sleep(this.opts.prefillMs + this.faults.slowMs);
      await this.respond(req, res, body, prompt, () => isDisconnected);
    } finally {
      this.releaseSlot();
      if (isDisconnected) this.counts.cancelled += 1;
    }
  }

  /** Counts a request and records its header names and any API keys in it. */
  private note(req: standinHttp.StandinRequest): void {
    this.counts.requests += 1;
    Object.keys(req.headers).forEach((name) => this.headersSeen.add(name));
    const text = `${req.url.href}\n${JSON.stringify(req.headers)}\n${req.body.toString('utf8')}`;
    text.match(KEY_PATTERN)?.forEach((key) => this.keysSeen.add(key));
  }

  private async crash(): Promise<void> {
    this.counts.crashes += 1;
    this.memory.reset();
    await this.server?.crash(this.faults.crashDownMs);
  }

  private async acquireSlot(): Promise<void> {
    if (this.running >= this.opts.slots) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
    this.running += 1;
  }

  private releaseSlot(): void {
    this.running -= 1;
    this.waiting.shift()?.();
  }

  /** Id for the response: that of the request, unless the `crossAnswers` fault is set. */
  private responseId(req: standinHttp.StandinRequest): string {
    if (this.faults.crossAnswers === 0) return String(req.headers['x-request-id'] ?? '');
    this.faults.crossAnswers -= 1;
    return 'another-request';
  }

  private async respond(
    req: standinHttp.StandinRequest,
    res: http.ServerResponse,
    body: CompletionBody,
    prompt: string,
    isDisconnected: () => boolean,
  ): Promise<void> {
    const tokens = body.max_tokens ?? 16;
    const id = this.responseId(req);
    if (body.stream === true) {
      await this.stream(res, body, prompt, id, isDisconnected);
      return;
    }
    await clock.sleep(tokens * this.opts.tokenMs);
    res.setHeader('x-request-id', id);
    const text = completionOf(prompt, tokens);
    const usage = { prompt_tokens: Math.ceil(prompt.length / 4), completion_tokens: tokens };
    const choice = { index: 0, text, message: { role: 'assistant', content: text } };
    const choices = [{ ...choice, finish_reason: 'stop' }];
    standinHttp.sendJson(res, 200, { id, model: body.model, choices, usage });
  }

  private async stream(
    res: http.ServerResponse,
    body: CompletionBody,
    prompt: string,
    id: string,
    isDisconnected: () => boolean,
  ): Promise<void> {
    const tokens = body.max_tokens ?? 16;
    const first = body.resume_from ?? 0;
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    for (let index = first; index < tokens && !isDisconnected(); index += 1) {
      if (this.opts.tokenMs > 0) await clock.sleep(this.opts.tokenMs);
      const delta = { content: tokenAt(prompt, index) };
      const chunk = { id, index, model: body.model, choices: [{ index: 0, delta }] };
      res.write(`data: ${JSON.stringify(chunk)}\n\n`);
      const { cutAfterTokens } = this.faults;
      if (cutAfterTokens > 0 && index + 1 - first >= cutAfterTokens) {
        if (this.faults.cutCleanly) res.end();
        else res.destroy();
        return;
      }
    }
    res.end('data: [DONE]\n\n');
  }
}

/** Starts an engine stand-in that listens at `listen`. */
export async function start(
  listen: string,
  opts: EngineOptions,
): Promise<standinHttp.StandinServer> {
  const engine = new EngineStandin(opts);
  const server = await standinHttp.serve(listen, (req, res) => engine.handle(req, res));
  engine.attach(server);
  return server;
}
