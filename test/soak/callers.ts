/** Callers of the soak test, which send requests of each kind and check the responses. */
import * as undici from 'undici';
import {
  type Arrival,
  CRASH_HEADER,
  lateArrivals,
  MAX_LATE_ARRIVALS,
  type Observations,
  STABLE_WINDOW_MS,
  STREAM_EVENTS,
} from './engine.js';
import type { SoakStore } from './store.js';
import type { SoakVm } from './vms.js';

export const RequestKind = { order: 'order', lookup: 'lookup', stream: 'stream' } as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** Statuses that guarantee that the request was not executed and will not be. */
const NOT_EXECUTED_STATUSES: readonly number[] = [408, 421, 429, 503];
const DEADLINE_MS = 3_000;
/** Prompt segments of all streams, besides one of their own. */
const SHARED_SEGMENTS = ['base:100', 'subject:60'];

export const KEY = 'soak-key';
export const CUSTOMER = 'acme';

export interface Outcome {
  readonly id: string;
  readonly kind: RequestKind;
  readonly status: number | null;
}

/** Describes a violation by a complete stream; null if its events are right. */
function checkStream(id: string, text: string): string | null {
  const expected = Array.from(
    { length: STREAM_EVENTS },
    (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`,
  ).join('');
  return text === expected
    ? null
    : `ORDER or MIXED: ${id} expected its own events in order, got ${JSON.stringify(text)}`;
}

export class Callers {
  readonly outcomes: Outcome[] = [];

  private sent = 0;

  private readonly agent = new undici.Agent({ connections: 64, pipelining: 1 });

  /** The VM to which each crashing request was sent, by the request's id. */
  private readonly vmOfCrashingRequest = new Map<string, SoakVm>();

  constructor(
    private readonly observations: Observations,
    private readonly store: SoakStore,
  ) {}

  /** Sends a request and records its outcome; never rejects. */
  async send(address: string, kind: RequestKind, model: string): Promise<Outcome> {
    this.sent += 1;
    const id = `r${this.sent}`;
    const outcome = { id, kind, status: await this.call(address, id, kind, model) };
    this.outcomes.push(outcome);
    return outcome;
  }

  /** Sends a lookup that crashes its server; calls with the same `name` are retries of it. */
  async sendCrashing(vm: SoakVm, name: string): Promise<void> {
    this.sent += 1;
    const id = `r${this.sent}`;
    this.vmOfCrashingRequest.set(id, vm);
    await this.call(vm.callers, id, RequestKind.lookup, '', name);
  }

  /** Sends a stream of its own whose prompt has a segment that crashes its server. */
  async sendCrashingSegment(vm: SoakVm, segment: string, model: string): Promise<void> {
    this.sent += 1;
    const id = `r${this.sent}`;
    this.vmOfCrashingRequest.set(id, vm);
    await this.call(vm.callers, id, RequestKind.stream, model, null, [`${segment}:40`]);
  }

  /** Violations of the guarantees, from the observations of both callers and servers. */
  violations(): readonly string[] {
    const runsOf = (id: string) => this.observations.runs.get(id) ?? 0;
    const orders = this.outcomes.filter(({ kind }) => kind === RequestKind.order);
    const executedTwice = orders
      .filter(({ id }) => runsOf(id) > 1)
      .map(({ id }) => `TWICE: ${id} was executed more than once`);
    const rejectedButExecuted = orders
      .filter(({ id, status }) => NOT_EXECUTED_STATUSES.includes(status ?? 0) && runsOf(id) > 0)
      .map(({ id, status }) => `REFUSED: ${id} was rejected with ${status} but executed`);
    const wronglyDenied = this.outcomes
      .filter(({ status }) => status === 401 || status === 403 || status === 404)
      .map(({ id, status }) => `DENIED: ${id} is valid but was rejected with ${status}`);
    const overBudget = [...new Set(this.observations.arrivals.map(({ name }) => name))]
      .map((name) => ({
        name,
        late: lateArrivals(this.observations, name, (arrival) => this.isFromConnectedVm(arrival)),
      }))
      .filter(({ late }) => late > MAX_LATE_ARRIVALS)
      .map(
        ({ name, late }) =>
          `BUDGET: ${name} reached servers ${late} times too late after its last allowed crash`,
      );
    return [
      ...this.observations.violations,
      ...executedTwice,
      ...rejectedButExecuted,
      ...wronglyDenied,
      ...overBudget,
    ];
  }

  /**
   * Whether an arrival counts for the limit: it does if its VM and the store were undisturbed for
   * the stable window before it, so that the VM could have received the crashes.
   */
  private isFromConnectedVm({ atMs, requestId }: Arrival): boolean {
    const fromMs = atMs - STABLE_WINDOW_MS;
    const isVmUndisturbed =
      this.vmOfCrashingRequest.get(requestId)?.wasUndisturbed(fromMs, atMs) ?? true;
    return isVmUndisturbed && this.store.wasUndisturbed(fromMs, atMs);
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async call(
    address: string,
    id: string,
    kind: RequestKind,
    model: string,
    crashName: string | null = null,
    segments: readonly string[] = [],
  ): Promise<number | null> {
    const prompt = [...SHARED_SEGMENTS, ...segments, `own-${id}:20`].join();
    try {
      const { statusCode, headers, body } = await undici.request(`http://${address}/${kind}/x`, {
        dispatcher: this.agent,
        method: 'POST',
        headers: {
          host: 'soak.example',
          'attempt-id': id,
          authorization: `Bearer ${KEY}`,
          'deadline-ms': String(DEADLINE_MS),
          ...(kind === RequestKind.stream
            ? { model, 'token-count': '20,20', 'prompt-prefix': prompt }
            : {}),
          ...(crashName === null ? {} : { [CRASH_HEADER]: crashName }),
        },
        body: `body of ${crashName ?? id}`,
        signal: AbortSignal.timeout(DEADLINE_MS),
      });
      const text = await body.text();
      if (statusCode === 200) this.checkSuccess(id, kind, headers['response-seal'], text);
      return statusCode;
    } catch {
      // After a closed connection, a truncated response or a timeout, any outcome is allowed.
      return null;
    }
  }

  private checkSuccess(id: string, kind: RequestKind, seal: unknown, text: string): void {
    const { violations } = this.observations;
    if (seal !== 'seal') violations.push(`MIXED: ${id} got a response without a seal`);
    if (kind === RequestKind.stream) {
      const violation = checkStream(id, text);
      if (violation !== null) violations.push(violation);
    } else if (text !== `whole ${id}`) {
      violations.push(`MIXED: ${id} got the response ${text}`);
    }
  }
}
