/**
 * Keeps the signals that arrive while the process starts.
 *
 * The command line imports this module first: by default, SIGHUP and SIGTERM end a process that does
 * not handle them yet, and loading the program takes some time.
 */

/** Signals that the platform sends to a running daemon. */
export type DaemonSignal = 'SIGHUP' | 'SIGTERM';

const SIGNALS: readonly DaemonSignal[] = ['SIGHUP', 'SIGTERM'];
/** The only command that handles signals; all others end by them. */
const HANDLING_COMMAND = 'serve';

/** The events of the process that report a signal. */
export interface SignalSource {
  on(signal: DaemonSignal, handler: () => void): unknown;
}

export class SignalQueue {
  private readonly early: DaemonSignal[] = [];

  private handler: ((signal: DaemonSignal) => void) | null = null;

  constructor(source: SignalSource) {
    SIGNALS.forEach((signal) => source.on(signal, () => this.receive(signal)));
  }

  /** Whether a signal to stop waits for its handler. */
  get isStopping(): boolean {
    return this.early.includes('SIGTERM');
  }

  /** Handles all signals from now on, and first those that have arrived before. */
  handle(handler: (signal: DaemonSignal) => void): void {
    this.handler = handler;
    this.early.splice(0).forEach(handler);
  }

  private receive(signal: DaemonSignal): void {
    if (this.handler === null) this.early.push(signal);
    else this.handler(signal);
  }
}

/** The signals of this process; null for a command that does not handle any. */
export const signals = process.argv[2] === HANDLING_COMMAND ? new SignalQueue(process) : null;
