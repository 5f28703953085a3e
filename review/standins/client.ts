/** A client with one connection, which it keeps for its requests. */
import * as http from 'node:http';
import { HOST, KEY } from './deployment.js';
import type { Recorder } from './record.js';

/** How a request ended at its client. */
export interface Outcome {
  readonly id: string;
  /** Null if the connection was closed before the head of an answer. */
  readonly status: number | null;
  /** Whether the answer came to its end. */
  readonly isWhole: boolean;
  readonly text: string;
}

export interface ClientRequest {
  readonly id: string;
  /** Name of the route. */
  readonly route: string;
  readonly deadlineMs: number;
  /** Null for a route to the plain service. */
  readonly model: string | null;
  /** For a stream that is taken up: the attempt that began it, and the last event that came. */
  readonly resumes?: { readonly id: string; readonly lastEventId: number };
  /** POST by default. */
  readonly method?: string;
}

let clients = 0;

export class Client {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  readonly name: string;

  constructor(
    private readonly recorder: Recorder,
    private address: string,
  ) {
    clients += 1;
    this.name = `client-${clients}`;
  }

  /** Sends the next requests to another entry VM. */
  moveTo(address: string): void {
    this.address = address;
  }

  /** Sends a request; never rejects. */
  send({
    id,
    route,
    deadlineMs,
    model,
    resumes,
    method = 'POST',
  }: ClientRequest): Promise<Outcome> {
    const [host = '', port = '0'] = this.address.split(':');
    this.recorder.note(this.name, `sends ${id} (${route}) to ${this.address}`);
    return new Promise((resolve) => {
      let status: number | null = null;
      let text = '';
      const settle = (isWhole: boolean, reason: string) => {
        const outcome = status === null ? `no answer (${reason})` : `${status}, ${reason}`;
        this.recorder.note(this.name, `gets for ${id}: ${outcome}`);
        resolve({ id, status, isWhole, text });
      };
      const req = http.request({
        host,
        port: Number(port),
        method,
        path: `/${route}/x`,
        agent: this.agent,
        headers: {
          Host: HOST,
          'Attempt-Id': id,
          'Deadline-Ms': String(deadlineMs),
          Authorization: `Bearer ${KEY}`,
          ...(resumes === undefined
            ? {}
            : { Resumes: resumes.id, 'Last-Event-Id': String(resumes.lastEventId) }),
          ...(model === null
            ? {}
            : { Model: model, 'Token-Count': '60,20', 'Prompt-Prefix': `5c1e07a2:40,${id}:20` }),
        },
      });
      req.on('response', (res) => {
        status = res.statusCode ?? 0;
        res.on('data', (bytes: Buffer) => {
          if (text.length < 65_536) text += bytes.toString('latin1');
        });
        res.on('end', () => settle(res.complete, res.complete ? 'whole' : 'cut'));
        res.on('error', (err) => settle(false, `cut: ${err.message}`));
      });
      req.on('error', (err) => {
        if (status === null) settle(false, err.message);
      });
      req.end(`body of ${id}`);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
