/**
 * The attempt of a request that is in progress, and another one that may replace it.
 *
 * A server that is silent may go on at any time, and the next server may be out of reach. So a silent
 * attempt is only given up once its replacement has begun to respond; until then, whichever attempt
 * responds first goes on, and the other one is aborted.
 */
import type { AttemptResult } from './attempt.js';
import type { Run } from './fleet-view.js';

/** When the parts of an attempt's response arrived; null for a part that did not. */
export interface AttemptProgress {
  headAtMs: number | null;
  firstEventAtMs: number | null;
  /** Whether the response has shown that the prompt is sound. */
  isSound: boolean;
}

/** Why an attempt was aborted in favour of the other one. */
export const Superseded = {
  /** Its server was silent, and its replacement has begun to respond. */
  silent: 'silent',
  /** It was a replacement, and the attempt before it has gone on. */
  spare: 'spare',
} as const;
export type Superseded = (typeof Superseded)[keyof typeof Superseded];

/** An attempt at one server. */
export class RunningAttempt {
  readonly progress: AttemptProgress = { headAtMs: null, firstEventAtMs: null, isSound: false };

  private supersededAs: Superseded | null = null;

  private reached = true;

  private readonly aborter = new AbortController();

  constructor(
    readonly run: Run,
    readonly sentAtMs: number,
  ) {}

  get signal(): AbortSignal {
    return this.aborter.signal;
  }

  /** Null if the attempt was not aborted, or not in favour of another one. */
  get superseded(): Superseded | null {
    return this.supersededAs;
  }

  /** Whether this VM, or the peer over which it sent the request, reached the servers at its end. */
  get isReached(): boolean {
    return this.reached;
  }

  noteReached(isReached: boolean): void {
    this.reached = isReached;
  }

  noteHead(nowMs: number): void {
    this.progress.headAtMs = nowMs;
  }

  /** Notes an event; the prompt is sound once the stream has sent events for `soundMs`. */
  noteEvent(nowMs: number, soundMs: number): void {
    const { progress } = this;
    progress.firstEventAtMs ??= nowMs;
    progress.isSound ||= nowMs - progress.firstEventAtMs >= soundMs;
  }

  abort(superseded: Superseded | null = null): void {
    this.supersededAs ??= superseded;
    this.aborter.abort();
  }
}

/** An attempt and how it ended. */
export interface FinishedAttempt {
  readonly attempt: RunningAttempt;
  readonly result: AttemptResult;
}

export interface AttemptRaceOptions {
  /** Sends the request; resolves with the result of the attempt. */
  send(attempt: RunningAttempt): Promise<AttemptResult>;
  /** Whether the caller can be served with a result, whatever the other attempt brings. */
  isUsable(result: AttemptResult): boolean;
  /** Called at the end of an attempt that does not decide on the request. */
  onUnused(finished: FinishedAttempt): void;
}

export class AttemptRace {
  private currentAttempt: RunningAttempt | null = null;

  private replacement: RunningAttempt | null = null;

  private resolve: (finished: FinishedAttempt) => void = () => undefined;

  private reject: (err: unknown) => void = () => undefined;

  constructor(private readonly opts: AttemptRaceOptions) {}

  /** The attempt whose response goes to the caller; null if none is in progress. */
  get current(): RunningAttempt | null {
    return this.currentAttempt;
  }

  /** Starts an attempt; resolves with its end, or with that of an attempt that has replaced it. */
  run(attempt: RunningAttempt): Promise<FinishedAttempt> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      this.currentAttempt = attempt;
      this.start(attempt);
    });
  }

  /** Whether another attempt may be started to replace this one. */
  mayReplace(attempt: RunningAttempt): boolean {
    return attempt === this.currentAttempt && this.replacement === null;
  }

  /** Starts an attempt that replaces the current one as soon as it has begun to respond. */
  replaceBy(attempt: RunningAttempt): void {
    this.replacement = attempt;
    this.start(attempt);
  }

  /**
   * Notes that an attempt has sent a part of its response, which goes to the caller: the other one is
   * aborted.
   * @returns Whether the attempt has replaced another one by it.
   */
  noteResponse(attempt: RunningAttempt): boolean {
    const { currentAttempt: before, replacement } = this;
    if (replacement === null) return false;
    this.replacement = null;
    if (attempt === before) {
      replacement.abort(Superseded.spare);
      return false;
    }
    this.currentAttempt = attempt;
    before?.abort(Superseded.silent);
    return true;
  }

  abort(): void {
    const { currentAttempt, replacement } = this;
    currentAttempt?.abort();
    replacement?.abort();
  }

  private start(attempt: RunningAttempt): void {
    this.opts.send(attempt).then(
      (result) => this.handleEnd({ attempt, result }),
      (err: unknown) => this.handleException(err),
    );
  }

  private handleEnd(finished: FinishedAttempt): void {
    const { attempt, result } = finished;
    const isCurrent = attempt === this.currentAttempt;
    const isReplacement = attempt === this.replacement;
    const isLast = isCurrent && this.replacement === null;
    if (isLast || ((isCurrent || isReplacement) && this.opts.isUsable(result))) {
      this.finish(finished);
      return;
    }
    if (isCurrent) this.currentAttempt = this.replacement;
    if (isCurrent || isReplacement) this.replacement = null;
    this.opts.onUnused(finished);
  }

  private finish(finished: FinishedAttempt): void {
    const { currentAttempt, replacement } = this;
    this.currentAttempt = null;
    this.replacement = null;
    if (finished.attempt === currentAttempt) replacement?.abort(Superseded.spare);
    else currentAttempt?.abort(Superseded.silent);
    this.resolve(finished);
  }

  private handleException(err: unknown): void {
    this.abort();
    this.currentAttempt = null;
    this.replacement = null;
    this.reject(err);
  }
}
