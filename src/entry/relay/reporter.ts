/** Tells the steward what this entry VM holds, runs and waits for. */
import type { Clock } from '../../core/clock/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { Admission } from './admission.js';
import type { Dispatcher } from './dispatch.js';
import type { FleetView } from './fleet-view.js';
import { paceMs } from './pace.js';
import type { LeaseTask } from './lease-task.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import type { StewardLink } from './steward-link.js';

const TICK_MS = 20;
/** Longest time between two reports, ms. */
const REST_MS = 400;

export interface ReporterOptions {
  readonly vm: string;
  /** Where peers reach this entry VM. */
  readonly address: string;
  readonly link: StewardLink;
  readonly lease: LeaseTask;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly view: FleetView;
  readonly clock: Clock;
  /** Revision of the plan that this entry VM has. */
  planRevision(): number;
  /** Entry VMs that report to the steward. */
  members(): number;
  isStopping(): boolean;
}

export class ReporterTask implements Task {
  readonly name = 'reporter';

  private timer: NodeJS.Timeout | null = null;

  private sentAtMs = -Infinity;

  private told = '';

  private urgent = false;

  private readonly usage = new Map<string, number>();

  constructor(private readonly opts: ReporterOptions) {}

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    this.opts.link.close();
  }

  /** Counts a request for a model. */
  noteUse(model: string): void {
    this.usage.set(model, (this.usage.get(model) ?? 0) + 1);
  }

  /** Something new waits: the steward should hear of it now. */
  hurry(): void {
    if (this.urgent) return;
    this.urgent = true;
    setImmediate(() => this.report(true));
  }

  /** A new steward is told everything. */
  introduce(): void {
    this.told = '';
    this.report(true);
  }

  /** Gives back what this entry VM holds of the customers' rates; it admits nothing after. */
  farewell(): void {
    this.opts.admission.giveBack();
    this.report(true);
  }

  private tick(): void {
    const post = this.opts.lease.post();
    if (post !== null && post.fence >= this.opts.link.fence) this.opts.link.follow(post);
    this.report(false);
  }

  private report(now: boolean): void {
    const nowMs = this.opts.clock.steadyMs();
    this.urgent = false;
    const sinceMs = nowMs - this.sentAtMs;
    if (!now && sinceMs < paceMs(this.opts.members())) return;
    const running = this.opts.view.running();
    const waits = this.opts.dispatcher.waits();
    // Uses alone are no news: they come along with the next report.
    const key = JSON.stringify([running, waits.map(({ dueInMs, ...wait }) => wait)]);
    if (!now && key === this.told && sinceMs < REST_MS) return;
    const message: RelayMessage = {
      type: RelayMessageType.report,
      vm: this.opts.vm,
      address: this.opts.address,
      sentAtMs: nowMs,
      clockMs: this.opts.clock.nowMs(),
      planRevision: this.opts.planRevision(),
      appliedSeq: this.opts.admission.lastSeq,
      shares: [...this.opts.admission.holder.report(nowMs)],
      running,
      waits,
      usage: [...this.usage].map(([model, requests]) => ({ model, requests })),
      leaving: this.opts.isStopping(),
    };
    if (!this.opts.link.send(message)) return;
    this.usage.clear();
    this.told = key;
    this.sentAtMs = nowMs;
    this.opts.view.noteTold();
  }
}
