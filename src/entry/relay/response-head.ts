/**
 * Checks the head of a backend server's response, and decides how its body ends (RFC 9112).
 *
 * The parser of Node.js accepts heads that are not valid HTTP and that its writer then rejects, and
 * heads that announce a body which their status does not allow.
 */
import { headerValues } from '../../core/http/headers.js';
import { isFinalStatus } from '../../core/http/status.js';

/** How the body of a response ends. */
export const BodyEnd = {
  /** There is no body: the response ends with its head. */
  none: 'none',
  /** After the number of bytes that the head names. */
  length: 'length',
  /** With the last chunk. */
  lastChunk: 'last-chunk',
  /** With the connection. */
  connection: 'connection',
} as const;
export type BodyEnd = (typeof BodyEnd)[keyof typeof BodyEnd];

export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Flat list of names and values. */
  readonly rawHeaders: readonly string[];
}

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Tabs, spaces, visible characters and bytes above 0x7f: reason phrases and header values. */
const TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Why the head's statements about the body are not valid; null if they are. */
function bodyFault(head: ResponseHead): string | null {
  const codings = headerValues(head.rawHeaders, 'transfer-encoding');
  const areSupported = codings.every((coding) => coding.trim().toLowerCase() === 'chunked');
  if (!areSupported) return 'response has an unsupported transfer coding';
  if (head.status !== STATUS_NO_CONTENT) return null;
  const lengths = headerValues(head.rawHeaders, 'content-length');
  const announcesBody = codings.length > 0 || lengths.some((length) => Number(length) !== 0);
  return announcesBody ? 'response without content announces a body' : null;
}

/** Why the head is not that of a valid final response; null if it is. */
export function headFault(head: ResponseHead): string | null {
  const { status, statusText, rawHeaders } = head;
  if (!TEXT.test(statusText)) return 'response has an invalid reason phrase';
  const areHeadersValid = rawHeaders.every((part, at) => (at % 2 === 0 ? TOKEN : TEXT).test(part));
  if (!areHeadersValid) return 'response has an invalid header';
  return isFinalStatus(status) ? bodyFault(head) : `response has the invalid status ${status}`;
}

/** How the body of a valid response to a request with this method ends. */
export function bodyEnd(method: string, head: ResponseHead): BodyEnd {
  const { status } = head;
  const hasBody =
    method !== 'HEAD' && status !== STATUS_NO_CONTENT && status !== STATUS_NOT_MODIFIED;
  if (!hasBody) return BodyEnd.none;
  if (headerValues(head.rawHeaders, 'transfer-encoding').length > 0) return BodyEnd.lastChunk;
  return headerValues(head.rawHeaders, 'content-length').length > 0
    ? BodyEnd.length
    : BodyEnd.connection;
}

/**
 * Length to announce to the caller, bytes; null for none. A response that ends with its head may
 * announce the length that another response would have.
 */
export function announcedLength(
  end: BodyEnd,
  head: ResponseHead,
  bodyBytes: number,
): number | null {
  if (end !== BodyEnd.none) return bodyBytes;
  const [length] = headerValues(head.rawHeaders, 'content-length');
  return length === undefined || head.status === STATUS_NO_CONTENT ? null : Number(length);
}
