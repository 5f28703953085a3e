/** Headers on their way between callers and plain services. */
import type * as http from 'node:http';
import { KEY_PREFIX } from './authenticate.js';

/** Headers that belong to one connection, or that carry the caller's key. */
const DROPPED = new Set([
  'authorization',
  'proxy-authorization',
  'x-api-key',
  'api-key',
  'cookie',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
  'content-length',
]);

type HeaderValue = string | string[] | undefined;

function carriesKey(value: string | string[]): boolean {
  return [value].flat().some((text) => text.includes(KEY_PREFIX));
}

function kept(headers: Readonly<Record<string, HeaderValue>>): Record<string, string | string[]> {
  const named = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || DROPPED.has(name) || named.includes(name) ? [] : [[name, value]],
    ),
  );
}

/** Headers for the backend server: no key, nothing that belongs to the caller's connection. */
export function towardsBackend(
  req: http.IncomingMessage,
  requestId: string,
): Record<string, string | string[]> {
  const clean = Object.entries(kept(req.headers)).filter(([, value]) => !carriesKey(value));
  return { ...Object.fromEntries(clean), 'x-request-id': requestId };
}

/** Headers for the caller. */
export function towardsCaller(
  headers: Readonly<Record<string, HeaderValue>>,
  requestId: string,
): http.OutgoingHttpHeaders {
  return { ...kept(headers), 'x-request-id': requestId };
}
