/**
 * Messages on a connection to a backend server that a peer relays.
 *
 * The VM that has the request connects to the peer's port for peers and sends `relayOpen` as its first
 * message. The peer connects to the server and replies with `relayOpened` or `relayRefused`. Nothing is
 * sent to the server before `relayOpened`. Closing the connection closes the one to the server.
 */
import { z } from 'zod';
import { PeerFailure } from '../../decisions/peer-choice/index.js';

export const RelayedMessageType = {
  relayOpen: 'relay-open',
  relayOpened: 'relay-opened',
  relayRefused: 'relay-refused',
  relayData: 'relay-data',
  relayTaken: 'relay-taken',
  relayStatement: 'relay-statement',
  relayEnd: 'relay-end',
} as const;

export const relayedMessageSchemas = [
  /** Asks for a connection to a server. */
  z.object({
    type: z.literal(RelayedMessageType.relayOpen),
    vm: z.string(),
    serverId: z.string(),
    /** Start time of the server's process that the sender has listed, Unix ms. */
    bornMs: z.number(),
    /** Time for connecting to the server, ms. */
    timeoutMs: z.number().positive(),
  }),
  /** The connection to the server is made. */
  z.object({ type: z.literal(RelayedMessageType.relayOpened) }),
  /** No connection to the server was made; the peer closes this one. */
  z.object({
    type: z.literal(RelayedMessageType.relayRefused),
    failure: z.enum(Object.values(PeerFailure)).catch(PeerFailure.unavailable),
    /** For the log. */
    reason: z.string(),
  }),
  /** Bytes to or from the server. */
  z.object({
    type: z.literal(RelayedMessageType.relayData),
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  }),
  /** Bytes that the server's connection has taken, since the last such message. */
  z.object({ type: z.literal(RelayedMessageType.relayTaken), bytes: z.int().nonnegative() }),
  /** What the head of the server's response states, which also binds the peer that sent the request. */
  z.object({
    type: z.literal(RelayedMessageType.relayStatement),
    leaving: z.boolean(),
    requestsPerS: z.number().nonnegative().nullable(),
    notRun: z.boolean(),
    /** Time for which the server wants no further request from the machine, ms; null for none. */
    pauseMs: z.number().nonnegative().nullable(),
  }),
  /** The sender's direction of the connection has ended, by a reset if `isReset`. */
  z.object({ type: z.literal(RelayedMessageType.relayEnd), isReset: z.boolean() }),
] as const;

/** Most bytes to the server that may be under way to a peer or held by it, for one connection. */
export const SEND_WINDOW_BYTES = 262_144;
/** Most bytes in one message. */
export const MAX_PIECE_BYTES = 65_536;
