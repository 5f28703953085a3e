/** The steward's side of loans: replies to the entry VMs' requests, at once or from a queue. */
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import { type LoanAnswer, LoanQueue, type RateLender } from '../../decisions/rate-shares/index.js';
import type { MessageLink } from './message-link.js';
import { type RelayMessageOf, RelayMessageType } from './messages.js';

/** Bounds of the time until the queue is checked again, ms: returned units may come earlier. */
const MIN_CHECK_MS = 2;
const MAX_CHECK_MS = 50;
/** Priority of a loan that names none. */
const DEFAULT_PRIORITY = 0;
/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MS = 10_000;

type Link = Pick<MessageLink, 'send'>;

export interface LoanServiceOptions {
  readonly lender: RateLender;
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly logger: Logger;
}

const NO_COUNTS = { asked: 0, granted: 0, refused: 0, queued: 0, unsent: 0, maxQueuedMs: 0 };

export class LoanService {
  private readonly queue: LoanQueue<Link>;

  private timer: NodeJS.Timeout | null = null;

  private counts = { ...NO_COUNTS };

  private loggedAtMs: number;

  constructor(private readonly opts: LoanServiceOptions) {
    this.queue = new LoanQueue(opts.lender);
    this.loggedAtMs = opts.clock.steadyMs();
  }

  /** Discards the queue; the entry VMs ask the next steward. */
  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = null;
  }

  handleAsk(nowMs: number, link: Link, ask: RelayMessageOf<'ask'>): void {
    this.counts.asked += 1;
    if (ask.maxWaitMs === undefined) this.answerNow(nowMs, link, ask);
    else {
      const { askId, customer, units, minUnits = units, maxWaitMs } = ask;
      const priority = ask.priority ?? DEFAULT_PRIORITY;
      const loan = { vm: link, askId, customer, units, minUnits, priority, maxWaitMs };
      this.sendAll(nowMs, this.queue.add(nowMs, loan));
    }
    this.log(nowMs);
  }

  /** Answers an older entry VM, which asks again if the loan can't be granted yet. */
  private answerNow(nowMs: number, link: Link, ask: RelayMessageOf<'ask'>): void {
    const { askId, customer, units } = ask;
    const isGranted = this.opts.lender.lend(nowMs, customer, units);
    const waitMs = this.opts.lender.waitMs(nowMs, customer, units);
    this.counts[isGranted ? 'granted' : 'refused'] += 1;
    link.send({
      type: RelayMessageType.lent,
      askId,
      customer,
      units: isGranted ? units : 0,
      waitMs: Number.isFinite(waitMs) ? waitMs : null,
    });
  }

  private sendAll(nowMs: number, answers: readonly LoanAnswer<Link>[]): void {
    answers.forEach((answer) => this.send(nowMs, answer));
    this.stop();
    const dueAtMs = this.queue.dueAtMs(nowMs);
    if (this.queue.size === 0) return;
    const checkMs = Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, Math.ceil(dueAtMs - nowMs)));
    this.timer = setTimeout(() => this.check(), checkMs);
  }

  private check(): void {
    const nowMs = this.opts.clock.steadyMs();
    this.sendAll(nowMs, this.queue.serve(nowMs));
  }

  private send(nowMs: number, { loan, units, waitMs, queuedMs }: LoanAnswer<Link>): void {
    const { vm, askId, customer } = loan;
    const { counts } = this;
    counts[units > 0 ? 'granted' : 'refused'] += 1;
    if (queuedMs > 0) counts.queued += 1;
    counts.maxQueuedMs = Math.max(counts.maxQueuedMs, Math.round(queuedMs));
    const isSent = vm.send({
      type: RelayMessageType.lent,
      askId,
      customer,
      units,
      waitMs: Number.isFinite(waitMs) ? waitMs : null,
      queuedMs,
    });
    if (isSent) return;
    counts.unsent += 1;
    if (units > 0) this.opts.lender.refund(nowMs, customer, units);
  }

  private log(nowMs: number): void {
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    this.opts.logger.info('loans-answered', { ...this.counts, waiting: this.queue.size });
    this.counts = { ...NO_COUNTS };
  }
}
