/** Typed publish/subscribe channels between the tasks of a process. */

export type Unsubscribe = () => void;

/** Delivers each message to all subscribers in a microtask, never within the call of `send`. */
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

/** Creates a channel. An error thrown by a subscriber is passed to `onError`. */
export function createChannel<T>(onError: (err: unknown) => void): Channel<T> {
  return new QueuedChannel<T>(onError);
}
