/** Keeps exceptions in event handlers and timers within the request that they belong to. */

/** Returns a handler that passes an exception of `handler` to `onException`. */
export function contain<Args extends readonly unknown[]>(
  handler: (...args: Args) => void,
  onException: (err: unknown) => void,
): (...args: Args) => void {
  return (...args) => {
    try {
      handler(...args);
    } catch (err) {
      onException(err);
    }
  };
}
