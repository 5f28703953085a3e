/**
 * Decides on one entry VM which requests of a customer wait for units, and which loan is asked for.
 *
 * One loan request is in flight, for all requests that wait. Requests are served by urgency. The share
 * of the VM also serves requests behind one that it does not cover; loans are kept for the first.
 */
import { LOAN_TTL_MS } from './holder.js';
import type {
  AppliedReply,
  HeldUnits,
  LoanAsk,
  LoanReply,
  RefusedUnits,
  UnitsRequest,
} from './loan-types.js';
import type { ReplyTimes } from './reply-times.js';
import { UNKNOWN_RATE_WAIT_FRACTION, shouldWaitForRate } from './unknown-rate.js';

/**
 * Pause between a refused loan and the customer's next loan request, ms: a fraction of the time that the
 * lender states, since units may be returned earlier.
 */
const MIN_LOAN_PAUSE_MS = 50;
const MAX_LOAN_PAUSE_MS = 500;
const LOAN_PAUSE_FRACTION = 0.25;
/**
 * Maximum time for which the lender may queue a loan, ms. A resumed stream waits for many seconds, and a
 * lost reply is noticed only after this time.
 */
const MAX_QUEUE_MS = 1_000;
/** Pause between two attempts to send a loan request while no steward is connected, ms. */
const UNSENT_PAUSE_MS = 25;
/** Time for which an unanswered request is kept, so that its reply is used, ms. */
const LATE_REPLY_MS = 10_000;
const MS_PER_S = 1_000;

interface SentAsk extends LoanAsk {
  readonly sentAtMs: number;
}

/** The lender's statement that `units` will be available at `atMs`. */
interface Statement {
  readonly units: number;
  readonly atMs: number;
}

/** Time until the next loan request after a refusal, ms; `waitMs` is Infinity if the loan was too large. */
function pauseMs(waitMs: number): number {
  if (waitMs === Infinity) return MIN_LOAN_PAUSE_MS;
  const fraction = Math.min(MAX_LOAN_PAUSE_MS, waitMs * LOAN_PAUSE_FRACTION);
  return Math.min(waitMs, Math.max(MIN_LOAN_PAUSE_MS, fraction));
}

export class LoanRequests<R extends UnitsRequest> {
  private waiting: readonly R[] = [];

  /** Requests to the lender without a reply, by id. */
  private readonly unanswered = new Map<number, SentAsk>();

  /** Id of the latest request to the lender if it has no reply. */
  private inFlight: number | null = null;

  private repeats = 0;

  private repeatAtMs = Infinity;

  private firstSentAtMs = -Infinity;

  /** Time before which no loan is asked for. */
  private askAtMs = -Infinity;

  private statement: Statement | null = null;

  /** Whether the next loan is asked for the most urgent request alone. */
  private isAlone = false;

  constructor(
    private readonly replyTimes: ReplyTimes,
    /** The customer's rate, units/s. */
    private readonly ratePerS: () => number,
  ) {}

  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  add(request: R): void {
    const isBefore = (a: R, b: R) =>
      Number(b.isResumed) - Number(a.isResumed) ||
      a.priority - b.priority ||
      a.rateUntilMs - b.rateUntilMs;
    this.waiting = [...this.waiting, request].sort(isBefore);
  }

  /** Discards the requests to a lender that will not reply, as another one is connected. */
  resetLender(): void {
    this.unanswered.clear();
    this.inFlight = null;
    this.statement = null;
    this.askAtMs = -Infinity;
  }

  /** Takes units for the requests that the held units cover, and returns these requests. */
  serve(units: HeldUnits): readonly R[] {
    let isFirst = true;
    let isBlocked = false;
    const served = this.waiting.filter((request) => {
      if (isBlocked) return false;
      if (isFirst && units.take(request.units)) return true;
      if (!isFirst) return units.takeFromShare(request.units);
      isFirst = false;
      isBlocked = request.isResumed;
      return false;
    });
    if (served.length > 0) this.remove(served);
    return served;
  }

  /** The loan to ask for now; null if none is needed or one is in flight. */
  nextAsk(nowMs: number, units: HeldUnits): LoanAsk | null {
    const [first] = this.waiting;
    if (first === undefined || nowMs < this.dueAtMs()) return null;
    const available = units.available();
    const minUnits = Math.max(1, Math.ceil(first.units - available));
    const sum = this.waiting.reduce((total, request) => total + request.units, 0);
    const all = Math.min(Math.ceil(sum - available), Math.floor(units.maxLoan()));
    const leftMs = Math.min(first.rateUntilMs, this.unknownUntilMs(first)) - nowMs;
    return {
      units: this.isAlone ? minUnits : Math.max(minUnits, all),
      minUnits,
      priority: first.isResumed ? 0 : first.priority,
      maxWaitMs: Math.max(0, Math.min(MAX_QUEUE_MS, leftMs - this.replyTimes.expectedMs)),
    };
  }

  /** Records that a request was sent; true if it repeats one without a reply. */
  noteAsked(nowMs: number, askId: number, ask: LoanAsk): boolean {
    const isRepeated = this.inFlight !== null;
    this.repeats = isRepeated ? this.repeats + 1 : 0;
    if (!isRepeated) this.firstSentAtMs = nowMs;
    this.inFlight = askId;
    this.statement = null;
    this.repeatAtMs = nowMs + ask.maxWaitMs + this.replyTimes.timeoutMs(this.repeats);
    this.unanswered.forEach(({ sentAtMs }, id) => {
      if (sentAtMs < nowMs - LATE_REPLY_MS) this.unanswered.delete(id);
    });
    this.unanswered.set(askId, { ...ask, sentAtMs: nowMs });
    return isRepeated;
  }

  /** Records that a request could not be sent. */
  noteUnsent(nowMs: number): void {
    this.inFlight = null;
    this.statement = null;
    this.askAtMs = nowMs + UNSENT_PAUSE_MS;
  }

  /** Applies a reply; null if the request is unknown or its reply was applied before. */
  applyReply(nowMs: number, reply: LoanReply): AppliedReply | null {
    const ask = this.unanswered.get(reply.askId);
    if (ask === undefined) return null;
    this.unanswered.delete(reply.askId);
    const queuedMs = reply.queuedMs ?? 0;
    const tookMs = Math.max(0, nowMs - ask.sentAtMs - queuedMs);
    this.replyTimes.note(tookMs);
    const isCurrent = this.inFlight === reply.askId;
    if (isCurrent) {
      this.inFlight = null;
      this.applyStatement(nowMs, ask, reply);
    }
    return {
      expiresAtMs: ask.sentAtMs + queuedMs + LOAN_TTL_MS,
      tookMs,
      isLate: !isCurrent || !this.isWaiting,
    };
  }

  /**
   * Removes and returns the requests that can't be served within their time.
   * @param rateKnownAtMs When this VM last had a grant, or a reply of the lender.
   */
  expire(nowMs: number, units: HeldUnits, rateKnownAtMs: number): readonly RefusedUnits<R>[] {
    let ahead = 0;
    // Refused callers return at the time that they are told, also one behind the other.
    let returning = 0;
    const refused = this.waiting.flatMap((request): RefusedUnits<R>[] => {
      const shareWaitMs = units.shareWaitMs(request.units);
      const lenderWaitMs = this.lenderWaitMs(nowMs, ahead, request.units);
      const waitMs = Math.min(shareWaitMs, lenderWaitMs ?? Infinity);
      const isKnown = lenderWaitMs !== null || (this.inFlight === null && waitMs < Infinity);
      const unknownSinceMs =
        this.inFlight === null ? rateKnownAtMs : Math.max(rateKnownAtMs, this.firstSentAtMs);
      const { arrivedAtMs, budgetMs } = request;
      const isKept = isKnown
        ? nowMs < request.rateUntilMs && nowMs + waitMs <= request.rateUntilMs
        : shouldWaitForRate(nowMs, { arrivedAtMs, budgetMs, unknownSinceMs });
      if (isKept) {
        ahead += request.units;
        return [];
      }
      const behindMs = this.lenderWaitMs(nowMs, ahead + returning, request.units);
      returning += request.units;
      const toldMs = Math.min(shareWaitMs, behindMs ?? Infinity);
      return [{ request, waitMs: isKnown || toldMs < Infinity ? toldMs : null }];
    });
    if (refused.length > 0) this.remove(refused.map(({ request }) => request));
    return refused;
  }

  /** When the next decision is due if nothing arrives; Infinity for never. */
  wakeAtMs(nowMs: number, units: HeldUnits): number {
    const times = this.waiting.flatMap((request) => {
      const limitMs = this.unknownUntilMs(request);
      const isPast = request.rateUntilMs <= nowMs;
      const ends = isPast ? [limitMs] : [request.rateUntilMs, limitMs];
      return [...ends, nowMs + units.shareWaitMs(request.units)];
    });
    return this.isWaiting ? Math.min(this.dueAtMs(), ...times) : Infinity;
  }

  private dueAtMs(): number {
    return this.inFlight === null ? this.askAtMs : this.repeatAtMs;
  }

  /** Time until which a request waits for a reply. */
  private unknownUntilMs({ arrivedAtMs, budgetMs }: R): number {
    return arrivedAtMs + budgetMs * UNKNOWN_RATE_WAIT_FRACTION;
  }

  private applyStatement(nowMs: number, ask: SentAsk, reply: LoanReply): void {
    const isRefused = reply.units === 0;
    const hasQueue = reply.queuedMs !== undefined;
    // A lender without a queue lends the whole sum or nothing.
    this.isAlone = isRefused && !hasQueue && ask.units > ask.minUnits;
    const waitMs = reply.waitMs ?? Infinity;
    const lacking = hasQueue ? ask.minUnits : ask.units;
    const rest = ask.units - reply.units;
    const isKnown = isRefused || (hasQueue && rest > 0);
    this.statement = isKnown ? { units: isRefused ? lacking : rest, atMs: nowMs + waitMs } : null;
    this.askAtMs = isRefused && !this.isAlone ? nowMs + pauseMs(waitMs) : nowMs;
  }

  /** Time until the lender has units for a request behind others, ms; null if it is not known. */
  private lenderWaitMs(nowMs: number, ahead: number, units: number): number | null {
    if (this.statement === null) return null;
    const { units: statedUnits, atMs } = this.statement;
    if (atMs === Infinity) return units < statedUnits ? null : Infinity;
    const needed = ahead + units;
    const statedMs = Math.max(0, atMs - nowMs);
    // Fewer units are expected in proportion, more at the customer's rate at most.
    if (needed <= statedUnits) return (statedMs * needed) / statedUnits;
    return statedMs + ((needed - statedUnits) * MS_PER_S) / this.ratePerS();
  }

  private remove(requests: readonly R[]): void {
    const removed = new Set(requests);
    this.waiting = this.waiting.filter((request) => !removed.has(request));
  }
}
