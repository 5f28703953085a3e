/** Writes a model's response to the caller, either streamed or buffered. */
import type * as http from 'node:http';
import type { EngineChunk } from '../backends/index.js';

export interface ResponseInfo {
  readonly id: string;
  readonly model: string;
  readonly isChat: boolean;
  readonly promptTokens: number;
}

/** Receives the chunks of a response in order. */
export interface CompletionResponse {
  /** Whether any byte of the response has been sent. */
  readonly started: boolean;
  /** Tokens received so far, which is the index from which a response is resumed. */
  readonly tokens: number;
  push(chunk: EngineChunk): Promise<void>;
  finish(): void;
}

function waitForDrain(res: http.ServerResponse): Promise<void> {
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

class StreamedResponse implements CompletionResponse {
  started = false;

  tokens = 0;

  constructor(
    private readonly res: http.ServerResponse,
    private readonly info: ResponseInfo,
  ) {}

  async push({ index, raw }: EngineChunk): Promise<void> {
    if (!this.started) {
      this.started = true;
      this.res.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': this.info.id,
      });
    }
    this.tokens = index + 1;
    if (!this.res.write(`data: ${raw}\n\n`) && !this.res.destroyed) await waitForDrain(this.res);
  }

  finish(): void {
    this.res.end('data: [DONE]\n\n');
  }
}

class BufferedResponse implements CompletionResponse {
  readonly started = false;

  tokens = 0;

  private readonly parts: string[] = [];

  constructor(
    private readonly res: http.ServerResponse,
    private readonly info: ResponseInfo,
  ) {}

  async push({ index, content }: EngineChunk): Promise<void> {
    this.tokens = index + 1;
    this.parts.push(content);
  }

  finish(): void {
    const { id, model, isChat, promptTokens } = this.info;
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

export function createCompletionResponse(
  res: http.ServerResponse,
  stream: boolean,
  info: ResponseInfo,
): CompletionResponse {
  return stream ? new StreamedResponse(res, info) : new BufferedResponse(res, info);
}
