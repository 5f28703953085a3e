/**
 * Chooses the peer over which an entry VM connects to a backend server that it can't reach directly.
 *
 * Peers in the local data centre are preferred, and connections are spread over all that may reach the
 * server: the steward's list tells which servers a peer can't reach, and refusals are remembered until
 * that list is up to date.
 */
import type { Random } from '../../core/random/index.js';

/** Another entry VM, as the steward describes it. */
export interface Peer {
  readonly vm: string;
  /** Address at which peers reach it. */
  readonly address: string;
  readonly dataCentre: string;
  /** Ids of the servers that it can't connect to. */
  readonly unreachable: readonly string[];
  /** Services from whose servers it is partitioned. */
  readonly partitioned: readonly string[];
  /** Whether it is stopping. */
  readonly leaving: boolean;
}

/** Why no connection to a server was made over a peer. */
export const PeerFailure = {
  /** The peer can't be reached, doesn't answer or doesn't know the message. */
  peerLost: 'peer-lost',
  /** The peer is stopping. */
  stopping: 'stopping',
  /** The peer relays as many connections as it may. */
  busy: 'busy',
  /** The peer can't connect to the server. */
  unreachable: 'unreachable',
  /** The server is not listed, draining, or wants no requests from the peer. */
  unavailable: 'unavailable',
} as const;
export type PeerFailure = (typeof PeerFailure)[keyof typeof PeerFailure];

/** Time for which a peer is not asked after it was lost, is stopping or has no room, ms. */
const PEER_PAUSE_MS: Readonly<Record<string, number>> = {
  [PeerFailure.peerLost]: 2_000,
  [PeerFailure.stopping]: 2_000,
  [PeerFailure.busy]: 100,
};
/** Time for which a peer is not asked for a server that it has refused, ms. */
const SERVER_PAUSE_MS = 1_000;
/** Servers that a peer can't reach at the same time, from which on it is not asked for any server. */
const MAX_UNREACHABLE = 2;
/** Peers that could not reach a server, from which on it counts as down. */
const DOWN_REFUSERS = 2;
/** Score penalty for a peer in another data centre, in open connections. */
const REMOTE_PENALTY = 2;

interface PeerRecord {
  /** Connections of this entry VM that the peer relays. */
  open: number;
  pausedUntilMs: number;
  /** Until when the peer is not asked for a server, by its id. */
  readonly refusals: Map<string, { readonly untilMs: number; readonly isUnreachable: boolean }>;
}

/** A server to which a connection is wanted. */
export interface ServerKey {
  readonly id: string;
  readonly service: string;
}

export interface PeerQuery {
  readonly server: ServerKey;
  /** Ids of the peers that have been asked already. */
  readonly tried: ReadonlySet<string>;
  readonly random: Random;
  /** Whether the request may be sent to peers in a data centre; undefined for all. */
  readonly mayRelay?: ((dataCentre: string) => boolean) | undefined;
}

export class PeerChoice {
  private peers: readonly Peer[] = [];

  private readonly records = new Map<string, PeerRecord>();

  constructor(private readonly own: { readonly vm: string; readonly dataCentre: string }) {}

  /** Replaces the list of peers; an entry of this VM itself is ignored. */
  setPeers(peers: readonly Peer[]): void {
    this.peers = peers.filter(({ vm }) => vm !== this.own.vm);
    const listed = new Set(peers.map(({ vm }) => vm));
    this.records.forEach(({ open }, vm) => {
      if (!listed.has(vm) && open === 0) this.records.delete(vm);
    });
  }

  /** Whether a peer may be able to connect to the server. */
  canReach(nowMs: number, server: ServerKey, mayRelay?: PeerQuery['mayRelay']): boolean {
    if (this.isDown(nowMs, server.id)) return false;
    return this.peers.some(
      (peer) => mayRelay?.(peer.dataCentre) !== false && this.mayReach(nowMs, peer, server),
    );
  }

  /** The peer to ask next for a connection to the server; null if there is none left. */
  choose(nowMs: number, { server, tried, random, mayRelay }: PeerQuery): Peer | null {
    if (this.isDown(nowMs, server.id)) return null;
    const candidates = this.peers.filter(
      (peer) =>
        !tried.has(peer.vm) &&
        mayRelay?.(peer.dataCentre) !== false &&
        this.mayReach(nowMs, peer, server),
    );
    const scores = candidates.map((peer) => this.scoreOf(peer));
    const lowest = Math.min(...scores);
    return random.pick(candidates.filter((_, at) => scores[at] === lowest)) ?? null;
  }

  /** Counts a connection that the peer begins to relay. */
  noteOpened(vm: string): void {
    this.recordOf(vm).open += 1;
  }

  /** Counts the end of a relayed connection. */
  noteClosed(vm: string): void {
    const record = this.recordOf(vm);
    record.open = Math.max(0, record.open - 1);
  }

  /** Records that no connection to the server was made over the peer. */
  noteFailure(nowMs: number, vm: string, serverId: string, failure: PeerFailure): void {
    const record = this.recordOf(vm);
    const pauseMs = PEER_PAUSE_MS[failure];
    if (pauseMs !== undefined) {
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs);
      return;
    }
    const isUnreachable = failure === PeerFailure.unreachable;
    record.refusals.set(serverId, { untilMs: nowMs + SERVER_PAUSE_MS, isUnreachable });
  }

  /** Records that the peer has connected to a server, so that it is not partitioned. */
  noteReached(vm: string, serverId: string): void {
    this.recordOf(vm).refusals.delete(serverId);
  }

  /** Whether several peers that reach other servers could not reach this one. */
  private isDown(nowMs: number, serverId: string): boolean {
    const refusers = [...this.records.values()].filter((record) => {
      const unreachable = PeerChoice.unreachableBy(nowMs, record);
      return unreachable.length < MAX_UNREACHABLE && unreachable.includes(serverId);
    });
    return refusers.length >= DOWN_REFUSERS;
  }

  /** Servers that the peer could not reach lately. */
  private static unreachableBy(nowMs: number, { refusals }: PeerRecord): readonly string[] {
    return [...refusals].flatMap(([id, { untilMs, isUnreachable }]) =>
      isUnreachable && nowMs < untilMs ? [id] : [],
    );
  }

  private mayReach(nowMs: number, peer: Peer, { id: serverId, service }: ServerKey): boolean {
    if (peer.leaving || peer.partitioned.includes(service) || peer.unreachable.includes(serverId))
      return false;
    const record = this.records.get(peer.vm);
    if (record === undefined) return true;
    if (nowMs < record.pausedUntilMs) return false;
    record.refusals.forEach(({ untilMs }, id) => {
      if (untilMs <= nowMs) record.refusals.delete(id);
    });
    const unreachable = PeerChoice.unreachableBy(nowMs, record);
    return !record.refusals.has(serverId) && unreachable.length < MAX_UNREACHABLE;
  }

  private scoreOf({ vm, dataCentre }: Peer): number {
    const open = this.records.get(vm)?.open ?? 0;
    return open + (dataCentre === this.own.dataCentre ? 0 : REMOTE_PENALTY);
  }

  private recordOf(vm: string): PeerRecord {
    const record = this.records.get(vm) ?? {
      open: 0,
      pausedUntilMs: -Infinity,
      refusals: new Map(),
    };
    this.records.set(vm, record);
    return record;
  }
}
