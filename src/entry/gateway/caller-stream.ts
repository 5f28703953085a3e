/** Writes a model's answer to the caller, as a stream or as a whole. */
import type * as http from 'node:http';
import type { EngineChunk } from '../backends/index.js';

export interface AnswerShape {
  readonly id: string;
  readonly model: string;
  readonly isChat: boolean;
  readonly promptTokens: number;
}

/** Takes the parts of an answer in order. */
export interface CallerAnswer {
  /** Whether the caller has seen a byte. */
  readonly begun: boolean;
  /** Tokens taken so far; the index at which a resumed answer goes on. */
  readonly tokens: number;
  push(chunk: EngineChunk): Promise<void>;
  finish(): void;
}

function drained(res: http.ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      res.off('drain', done);
      res.off('close', done);
      resolve();
    };
    res.once('drain', done);
    res.once('close', done);
  });
}

class StreamedAnswer implements CallerAnswer {
  begun = false;

  tokens = 0;

  constructor(
    private readonly res: http.ServerResponse,
    private readonly shape: AnswerShape,
  ) {}

  async push({ index, raw }: EngineChunk): Promise<void> {
    if (!this.begun) {
      this.begun = true;
      this.res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': this.shape.id,
      });
    }
    this.tokens = index + 1;
    if (!this.res.write(`data: ${raw}\n\n`) && !this.res.destroyed) await drained(this.res);
  }

  finish(): void {
    this.res.end('data: [DONE]\n\n');
  }
}

class WholeAnswer implements CallerAnswer {
  readonly begun = false;

  tokens = 0;

  private readonly parts: string[] = [];

  constructor(
    private readonly res: http.ServerResponse,
    private readonly shape: AnswerShape,
  ) {}

  async push({ index, content }: EngineChunk): Promise<void> {
    this.tokens = index + 1;
    this.parts.push(content);
  }

  finish(): void {
    const { id, model, isChat, promptTokens } = this.shape;
    const content = this.parts.join('');
    const text = isChat ? { message: { role: 'assistant', content } } : { text: content };
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: this.tokens,
      total_tokens: promptTokens + this.tokens,
    };
    const object = isChat ? 'chat.completion' : 'text_completion';
    const choices = [{ index: 0, ...text, finish_reason: 'stop' }];
    this.res.writeHead(200, { 'content-type': 'application/json', 'x-request-id': id });
    this.res.end(JSON.stringify({ id, object, model, choices, usage }));
  }
}

export function createAnswer(
  res: http.ServerResponse,
  stream: boolean,
  shape: AnswerShape,
): CallerAnswer {
  return stream ? new StreamedAnswer(res, shape) : new WholeAnswer(res, shape);
}
