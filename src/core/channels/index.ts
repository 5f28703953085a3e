/** Typed channels by which tasks talk to each other. */

export type Unsubscribe = () => void;

/** Delivers each message to all subscribers, after the sender's own step has ended. */
export interface Channel<T> {
  send(message: T): void;
  subscribe(handler: (message: T) => void): Unsubscribe;
}

class QueuedChannel<T> implements Channel<T> {
  private readonly handlers = new Set<(message: T) => void>();

  constructor(private readonly onError: (err: unknown) => void) {}

  send(message: T): void {
    queueMicrotask(() => {
      [...this.handlers].forEach((handler) => {
        try {
          handler(message);
        } catch (err) {
          this.onError(err);
        }
      });
    });
  }

  subscribe(handler: (message: T) => void): Unsubscribe {
    this.handlers.add(handler);
    return () => {
      this.handlers.delete(handler);
    };
  }
}

/** Creates a channel; what a subscriber throws goes to `onError`. */
export function createChannel<T>(onError: (err: unknown) => void): Channel<T> {
  return new QueuedChannel<T>(onError);
}
