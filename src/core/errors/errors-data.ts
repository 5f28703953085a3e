/** Definitions of all errors that daemons and commands report. */
import type { ErrorDefinition } from './types.js';

export const MissingKey: ErrorDefinition = {
  name: 'MissingKey',
  title: 'No key was sent.',
  status: 401,
  message: () => 'The request has no API key.',
  hint: 'Send the key as "Authorization: Bearer KEY".',
};
export const KeyRefused: ErrorDefinition = {
  name: 'KeyRefused',
  title: 'The key is not valid.',
  status: 401,
  message: () => 'The key is unknown or has been revoked.',
  hint: 'Ask the operator for a new key.',
};
export const KeyInQuery: ErrorDefinition = {
  name: 'KeyInQuery',
  title: 'A key was sent in the query.',
  status: 400,
  message: () => 'Keys are not accepted in the query, where logs may record them.',
  hint: 'Send the key as "Authorization: Bearer KEY" and replace the exposed key.',
};
export const UnknownModel: ErrorDefinition = {
  name: 'UnknownModel',
  title: 'The model is not known.',
  status: 404,
  message: (detail) => `No model or adapter is named "${detail}".`,
  hint: 'GET /v1/models lists the names.',
};
export const UnknownRoute: ErrorDefinition = {
  name: 'UnknownRoute',
  title: 'The route is not known.',
  status: 404,
  message: (detail) => `No route or service matches "${detail}".`,
  hint: 'Services are under /services/NAME/ and models under /v1/.',
};
export const BadRequest: ErrorDefinition = {
  name: 'BadRequest',
  title: 'The request is malformed.',
  status: 400,
  message: (detail) => detail,
  hint: 'Send a JSON body as docs/PROTOCOLS.md describes it.',
};
export const BodyTooLarge: ErrorDefinition = {
  name: 'BodyTooLarge',
  title: 'The body is too large.',
  status: 413,
  message: (detail) => `The body is larger than ${detail} bytes.`,
  hint: 'Shorten the prompt or split the request.',
};
export const RequestTooLarge: ErrorDefinition = {
  name: 'RequestTooLarge',
  title: 'The request needs more tokens than a server has.',
  // As a server with full memory answers it: another configuration or version may have room.
  status: 503,
  message: () => 'Prompt and maximum output exceed the memory of a server.',
  hint: 'Shorten the prompt or ask for less output.',
};
export const MemoryFull: ErrorDefinition = {
  name: 'MemoryFull',
  title: 'The memory for request bodies is in use.',
  status: 503,
  message: () => 'The entry VM holds as many request bodies as its memory allows.',
  hint: 'Retry after the time in Retry-After.',
};
export const RateExceeded: ErrorDefinition = {
  name: 'RateExceeded',
  title: "The customer's rate limit is exceeded.",
  status: 429,
  message: (detail) =>
    `The request needs ${detail} tokens, more than the rate limit allows before its deadline.`,
  hint: 'Retry after the time in Retry-After.',
};
export const RateUnknown: ErrorDefinition = {
  name: 'RateUnknown',
  title: "The customer's rate limit is not available yet.",
  status: 503,
  message: () => 'This entry VM has not received the rate limits from a steward.',
  hint: 'Retry after the time in Retry-After; see steward-found and lease-acquired in the logs.',
};
export const NoCapacity: ErrorDefinition = {
  name: 'NoCapacity',
  title: 'No capacity before the deadline.',
  status: 503,
  message: (detail) => `The request cannot be served before its deadline: ${detail}.`,
  hint: 'Retry after the time in Retry-After.',
};
export const StreamVersionUnknown: ErrorDefinition = {
  name: 'StreamVersionUnknown',
  title: 'It is not known which software version began the stream.',
  status: 503,
  message: () => 'The stream cannot be resumed: the version that began it is not known here.',
  hint: 'Send the request as a new stream; see stream-record in the logs.',
};
export const StreamVersionGone: ErrorDefinition = {
  name: 'StreamVersionGone',
  title: 'No server has the software version that began the stream.',
  status: 503,
  message: () => 'The stream cannot be resumed: no server of its version accepts requests.',
  hint: 'Send the request as a new stream.',
};
export const BackendFailed: ErrorDefinition = {
  name: 'BackendFailed',
  title: 'The backend server failed.',
  status: 502,
  message: (detail) => `The backend server did not return a complete response: ${detail}.`,
  hint: 'Retry the request if it is idempotent.',
};
export const TimedOut: ErrorDefinition = {
  name: 'TimedOut',
  title: 'The request timed out.',
  status: 504,
  message: (detail) => `No response arrived within the time-out of the route: ${detail}.`,
  hint: 'The request may have been executed. Retry it only if it is idempotent.',
};
export const RequestBlocked: ErrorDefinition = {
  name: 'RequestBlocked',
  title: 'The request crashes backend servers.',
  status: 503,
  message: () => 'Backend servers crashed while running this request, so it is not run again.',
  hint: 'Change the request, or report it to the operator.',
};
export const PromptBlocked: ErrorDefinition = {
  name: 'PromptBlocked',
  title: 'A segment of the prompt crashes backend servers.',
  status: 503,
  message: () =>
    'Backend servers crashed while running other requests with a segment of this prompt, so this one was not run.',
  hint: 'Send the request without the segment, or report it to the operator.',
};
export const KeysUnconfirmed: ErrorDefinition = {
  name: 'KeysUnconfirmed',
  title: 'Keys cannot be verified at the moment.',
  status: 503,
  message: () =>
    'This entry VM could not refresh its keys from the platform, and its cached keys have expired.',
  hint: 'Retry after the time in Retry-After.',
};
export const RequestSuspected: ErrorDefinition = {
  name: 'RequestSuspected',
  title: 'The request is suspected of crashing backend servers.',
  status: 422,
  message: () => 'Backend servers crashed while running this request; it is refused temporarily.',
  hint: 'Change the request, or report it to the operator.',
};
export const ClaimInProgress: ErrorDefinition = {
  name: 'ClaimInProgress',
  title: 'The first request with this Idempotency-Key is still running.',
  status: 409,
  message: () => 'A request with the same Idempotency-Key is in progress; this one was not run.',
  hint: 'Retry after the time in Retry-After to get the outcome.',
};
export const OutcomeUnknown: ErrorDefinition = {
  name: 'OutcomeUnknown',
  title: 'The outcome of the first request is not known.',
  status: 409,
  message: () =>
    'A request with the same Idempotency-Key was forwarded, but its outcome was not recorded; this one was not run.',
  hint: 'Check the state of the service before sending the request with a new Idempotency-Key.',
};
export const ClaimMismatch: ErrorDefinition = {
  name: 'ClaimMismatch',
  title: 'The Idempotency-Key was used for another request.',
  status: 422,
  message: () => 'The Idempotency-Key belongs to a request with another method, path or body.',
  hint: 'Use a new Idempotency-Key for each request.',
};
export const PlatformDown: ErrorDefinition = {
  name: 'PlatformDown',
  title: 'The platform is not available.',
  status: 503,
  message: (detail) => `An operation on the platform's object API failed: ${detail}.`,
  hint: 'Retry after the time in Retry-After.',
};
export const StoreAnswerTooLarge: ErrorDefinition = {
  name: 'StoreAnswerTooLarge',
  title: 'An answer of the store is too large.',
  status: 503,
  message: (detail) => `The answer was given up, as it is larger than ${detail} bytes.`,
  hint: 'Look for an object in the store that is larger than the platform allows.',
};
export const Leaving: ErrorDefinition = {
  name: 'Leaving',
  title: 'This entry VM is shutting down.',
  status: 503,
  message: () => 'The entry VM is shutting down and accepts no new requests.',
  hint: 'Retry; the load balancer selects another entry VM.',
};
export const Conflict: ErrorDefinition = {
  name: 'Conflict',
  title: 'The node was changed by another edit.',
  status: 409,
  message: (detail) => `The node "${detail}" changed since it was read.`,
  hint: 'Read the node again and repeat the edit.',
};
export const InvalidSettings: ErrorDefinition = {
  name: 'InvalidSettings',
  title: 'The settings are not valid.',
  status: 400,
  message: (detail) => detail,
  hint: 'docs/SETTINGS.md lists every setting.',
};
export const BadFrame: ErrorDefinition = {
  name: 'BadFrame',
  title: 'A peer sent a malformed frame.',
  status: 400,
  message: (detail) => detail,
  hint: 'Check that both entry VMs run compatible versions.',
};
export const Internal: ErrorDefinition = {
  name: 'Internal',
  title: 'Internal error of the entry VM.',
  status: 500,
  message: (detail) => detail,
  hint: 'Report it together with the request id.',
};
