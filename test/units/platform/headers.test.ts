/** Which headers of a request are forwarded, set, removed or decoded. */
import { describe, expect, test } from 'vitest';
import * as platform from '../../../platform/index.js';

const wire = platform.createWire();
const DISPATCH = {
  backendId: 'e1',
  customer: 'acme',
  deadlineMs: 900.7,
  urgency: 1,
  resumeAfter: null,
  bodyBytes: 5,
  hasBody: true,
};

function namesOf(flat: readonly string[]): readonly string[] {
  return flat.filter((_, at) => at % 2 === 0).map((name) => name.toLowerCase());
}

function valueOf(flat: readonly string[], name: string): string | undefined {
  const at = flat.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === name);
  return at < 0 ? undefined : flat[at + 1];
}

describe('a forwarded request', () => {
  const raw = [
    ...['Host', 'a.example', 'Attempt-Id', 'r1', 'Authorization', 'Bearer secret'],
    ...['Tenant', 'somebody-else', 'Target-Instance', 'e9', 'Hold', 'h', 'Pin-Ms', '5'],
    ...['Kv-Fetch', '1.2.3.4:5', 'Kv-From', 'x', 'Kv-Backup', 'y', 'Request-Priority', '0'],
    ...['Connection', 'close, X-Hop', 'X-Hop', '1', 'Transfer-Encoding', 'chunked'],
    ...['Model', 'm/a1', 'Token-Count', '10,20', 'Deadline-Ms', '60000', 'X-Own', 'kept'],
  ];
  const sent = wire.encodeRequest(raw, DISPATCH);

  test('carries neither the key nor headers that only the system may set', () => {
    const names = namesOf(sent);
    ['authorization', 'hold', 'pin-ms', 'kv-fetch', 'kv-from', 'kv-backup'].forEach((name) =>
      expect(names).not.toContain(name),
    );
    expect(sent.join()).not.toContain('secret');
  });

  test('carries its customer, its server and its remaining time exactly once', () => {
    expect(valueOf(sent, 'tenant')).toBe('acme');
    expect(valueOf(sent, 'target-instance')).toBe('e1');
    expect(valueOf(sent, 'deadline-ms')).toBe('900');
    const names = namesOf(sent);
    expect(new Set(names).size).toBe(names.length);
  });

  test('carries the other headers unchanged, without the hop-by-hop ones', () => {
    expect(valueOf(sent, 'model')).toBe('m/a1');
    expect(valueOf(sent, 'x-own')).toBe('kept');
    expect(valueOf(sent, 'attempt-id')).toBe('r1');
    ['connection', 'x-hop', 'transfer-encoding'].forEach((name) =>
      expect(namesOf(sent)).not.toContain(name),
    );
  });

  test('is decoded into its metadata', () => {
    expect(wire.decodeRequest(raw)).toMatchObject({
      id: 'r1',
      key: 'secret',
      model: 'm',
      adapter: 'a1',
      tokens: { prompt: 10, output: 20 },
      deadlineMs: 60_000,
    });
  });

  test('names the segments of its prompt, with null for tokens that are no number', () => {
    const prompt = 'a:172, b:x,,c, d:40';
    expect(wire.decodeRequest([...raw, 'Prompt-Prefix', prompt])).toMatchObject({
      promptSegments: ['a', 'b', 'c', 'd'],
      segmentTokens: [172, null, null, 40],
    });
  });

  test('names the attempt that began its stream, if it does, and is still the same request', () => {
    const takenUp = [...raw, 'Last-Event-Id', '3', 'Resumes', 'r0'];
    expect(wire.decodeRequest(takenUp)).toMatchObject({ begunBy: 'r0', lastEventId: '3' });
    expect(wire.decodeRequest([...raw, 'Resumes', 'not an id'])?.begunBy).toBeNull();
    expect(wire.decodeRequest(raw)?.begunBy).toBeNull();
    expect(wire.canonicalHeaders(takenUp)).toBe(wire.canonicalHeaders(raw));
  });

  test('with a missing or duplicated id or a malformed deadline is rejected', () => {
    expect(wire.decodeRequest(['Host', 'a'])).toBeNull();
    expect(wire.decodeRequest(['Attempt-Id', 'a', 'attempt-id', 'b'])).toBeNull();
    expect(wire.decodeRequest(['Attempt-Id', 'a', 'Deadline-Ms', 'soon'])).toBeNull();
  });
});

describe('the canonical headers of a request', () => {
  const canonical = (...more: readonly string[]) =>
    wire.canonicalHeaders(['Host', 'a.example', 'Model', 'm1', ...more]);

  test('are equal for all of its attempts', () => {
    const first = canonical('Attempt-Id', 'r1', 'Deadline-Ms', '900', 'Authorization', 'Bearer k');
    const second = canonical('Attempt-Id', 'r2', 'Last-Event-Id', '4', 'Connection', 'close');
    expect(second).toBe(first);
  });

  test('differ by any other header', () => {
    expect(canonical('X-Own', '1')).not.toBe(canonical('X-Own', '2'));
  });
});

describe('the request limit in a response', () => {
  test('tells whether the server leaves, and for how long it wants no request', () => {
    const raw = ['Server-Leaving', '1', 'Retry-After', '1.5'];
    expect(wire.decodeResponse(raw)).toMatchObject({ leaving: true, retryAfterMs: 1_500 });
    const other = ['Server-Leaving', '0', 'Retry-After', 'Fri, 31 Dec 2027 23:59:59 GMT'];
    expect(wire.decodeResponse(other)).toMatchObject({ leaving: false, retryAfterMs: null });
  });

  test('tells how many requests a brittle server may turn away in a second', () => {
    const statedIn = (...raw: readonly string[]) => wire.decodeResponse(raw).rejectionsPerS;
    expect(statedIn('Server-Brittle', '3')).toBe(3);
    expect(statedIn('server-brittle', ' 0.5 ')).toBe(0.5);
    expect(statedIn('Server-Brittle', '999999999')).toBe(999_999_999);
    expect(statedIn('Attempt-Id', 'r1')).toBeNull();
    ['', 'yes', '-1', 'NaN', 'Infinity', '1, 2', '9'.repeat(400)].forEach((value) =>
      expect(statedIn('Server-Brittle', value)).toBeNull(),
    );
  });

  const limitIn = (...raw: readonly string[]) => wire.decodeResponse(raw).requestsPerS;

  test('is a decimal number of requests per second', () => {
    expect(limitIn('Server-Limit', '12')).toBe(12);
    expect(limitIn('server-limit', ' 0.4 ')).toBe(0.4);
    expect(limitIn('Server-Limit', '0')).toBe(0);
  });

  test('is absent if the header is missing or malformed', () => {
    expect(limitIn('Attempt-Id', 'r1')).toBeNull();
    ['', 'fast', '-1', '1e9', 'NaN', '1/s'].forEach((value) =>
      expect(limitIn('Server-Limit', value)).toBeNull(),
    );
  });
});
