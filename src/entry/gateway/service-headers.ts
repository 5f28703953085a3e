/** Filters the headers that are forwarded between callers and plain services. */
import type * as http from 'node:http';
import { KEY_PREFIX } from './authenticate.js';

/** Headers that belong to one connection, or that may hold the caller's credentials. */
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

function forwardable(
  headers: Readonly<Record<string, HeaderValue>>,
): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '')
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || DROPPED.has(name) || connectionOptions.includes(name)
        ? []
        : [[name, value]],
    ),
  );
}

/** Headers for the backend server, without keys and without those of the caller's connection. */
export function toBackendHeaders(
  req: http.IncomingMessage,
  requestId: string,
): Record<string, string | string[]> {
  const withoutKeys = Object.entries(forwardable(req.headers)).filter(
    ([, value]) => !carriesKey(value),
  );
  return { ...Object.fromEntries(withoutKeys), 'x-request-id': requestId };
}

/** Headers for the caller, without those of the backend server's connection. */
export function toCallerHeaders(
  headers: Readonly<Record<string, HeaderValue>>,
  requestId: string,
): http.OutgoingHttpHeaders {
  return { ...forwardable(headers), 'x-request-id': requestId };
}
