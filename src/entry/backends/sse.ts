/** Parses the subset of server-sent events that engines use. */
import type { Readable } from 'node:stream';

const FIELD = 'data: ';
/** Maximum length of buffered text, characters. */
const MAX_EVENT_CHARS = 1_048_576;

/** Yields the data of each complete event. */
export async function* readEvents(body: Readable): AsyncGenerator<string, void> {
  body.setEncoding('utf8');
  let text = '';
  for await (const chunk of body as AsyncIterable<string>) {
    text += chunk;
    if (text.length > MAX_EVENT_CHARS) throw new Error('an event exceeds the maximum length');
    const events = text.split('\n\n');
    text = events.pop() ?? '';
    const data = events
      .filter((event) => event.startsWith(FIELD))
      .map((event) => event.slice(FIELD.length));
    yield* data;
  }
}
