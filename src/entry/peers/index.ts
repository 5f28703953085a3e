/** Task that communicates with other entry VMs: listener, connections, heartbeats, membership. */
import * as net from 'node:net';
import type { Channel } from '../../core/channels/index.js';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import * as membership from '../../decisions/membership/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';
import { PeerConnection } from './peer-connection.js';

const TICK_MS = 250;
/** Interval at which the platform's VM list is read. */
const LIST_INTERVAL_MS = 5_000;
/** The same until the list, which is updated with a delay, includes this entry VM. */
const UNLISTED_LIST_INTERVAL_MS = 500;
/** A connection to an unlisted VM is removed after this time without a `heartbeat` message. */
const CONNECTION_EXPIRY_MS = 60_000;
/** A member counts as unavailable once its connection has been down for this long. */
const MAX_DISCONNECTED_MS = 1_000;

/** A received message. */
export interface Inbound {
  /** Id of the sending VM, which may be this entry VM. */
  readonly from: string;
  readonly message: messages.PeerMessage;
}

/** The other entry VMs, as seen by other tasks. */
export interface Peers {
  /** Sends to an entry VM, which may be this one; returns false if it cannot be reached. */
  send(vm: string, message: messages.PeerMessage): boolean;
  /** Sends to the peer at an address; returns false if it cannot be reached. */
  sendTo(address: string, message: messages.PeerMessage): boolean;
  /** Sends to all available members of this data centre except this entry VM. */
  sendToLocalMembers(message: messages.PeerMessage): void;
  /** Sends to all connected peers, including those that have not sent a heartbeat yet. */
  sendAll(message: messages.PeerMessage): void;
  /** Available members except this entry VM. */
  members(): readonly membership.MemberState[];
  /** Available members in this data centre except this entry VM. */
  localMembers(): readonly membership.MemberState[];
  /** The steward of a data centre, which may be this entry VM; null if there is none. */
  stewardOf(dataCentre: string): membership.MemberState | null;
  /** The state that this entry VM announces. */
  self(): membership.MemberState;
  /** Changes the announced state and sends it to all peers immediately. */
  announce(change: Partial<membership.MemberState>): void;
  /** Ids in the platform's VM list as last read; null until it has been read. */
  listedVms(): ReadonlySet<string> | null;
}

export interface PeersDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly listen: string;
  /** Address that is announced to other entry VMs; the bound address if undefined. */
  readonly advertised: string | undefined;
  readonly seeds: readonly string[];
  readonly maxFrameBytes: number;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly platform: PlatformClient;
  readonly inbox: Channel<Inbound>;
  /** Publishes the address of each peer when a connection to it is established. */
  readonly connected: Channel<string>;
}

export class PeersTask implements Task, Peers {
  readonly name = 'peers';

  private readonly connections = new Map<string, PeerConnection>();

  private readonly heartbeatAtMs = new Map<string, number>();

  /** Addresses of members of this data centre, whether available or not. */
  private readonly localAddresses = new Set<string>();

  private readonly table: membership.Membership;

  private state: membership.MemberState;

  private server: net.Server | null = null;

  private bound = '';

  private readonly inbound = new Set<net.Socket>();

  private timers: NodeJS.Timeout[] = [];

  private localBeatAtMs = 0;

  private remoteBeatAtMs = 0;

  private listAtMs = Infinity;

  private listed: ReadonlySet<string> | null = null;

  private listedAddresses: readonly string[] = [];

  constructor(private readonly deps: PeersDeps) {
    const { vm, dataCentre, listen, incarnation } = deps;
    this.table = new membership.Membership(vm, dataCentre);
    this.state = {
      vm,
      dataCentre,
      address: listen,
      incarnation,
      revision: 0,
      leaving: false,
      stewardEpoch: 0,
      lender: false,
    };
  }

  /** Address that the peer listener is bound to. */
  get boundAddress(): string {
    return this.bound;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    await this.listen(fail);
    this.deps.seeds
      .filter((address) => address !== this.state.address)
      .forEach((address) => this.connectionTo(address));
    this.timers = [setInterval(() => this.tick(), TICK_MS)];
    await this.readList();
  }

  async stop(): Promise<void> {
    this.sendAll({ type: messages.PeerMessageType.goodbye });
    this.timers.forEach((timer) => clearInterval(timer));
    this.connections.forEach((connection) => connection.close());
    this.connections.clear();
    this.inbound.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      if (this.server === null) resolve();
      else this.server.close(() => resolve());
    });
    this.server = null;
  }

  send(vm: string, message: messages.PeerMessage): boolean {
    if (vm === this.deps.vm) {
      this.deps.inbox.send({ from: vm, message });
      return true;
    }
    const member = this.members().find((state) => state.vm === vm);
    return member !== undefined && this.sendTo(member.address, message);
  }

  sendToLocalMembers(message: messages.PeerMessage): void {
    this.sendToAll(this.localMembers(), message);
  }

  sendAll(message: messages.PeerMessage): void {
    // A connected peer that is not a member yet must not miss messages that are sent only once.
    this.sendToAll(
      [...this.connections.keys()].map((address) => ({ address })),
      message,
    );
  }

  members(): readonly membership.MemberState[] {
    return this.table
      .liveMembers(this.deps.clock.nowMs())
      .filter((state) => this.isConnected(state));
  }

  localMembers(): readonly membership.MemberState[] {
    return this.members().filter(({ dataCentre }) => dataCentre === this.deps.dataCentre);
  }

  stewardOf(dataCentre: string): membership.MemberState | null {
    const other = membership.stewardAmong(
      this.members().filter((state) => state.dataCentre === dataCentre),
    );
    const own = dataCentre === this.deps.dataCentre && this.state.stewardEpoch > 0;
    if (!own) return other;
    return other !== null && other.stewardEpoch > this.state.stewardEpoch ? other : this.state;
  }

  self(): membership.MemberState {
    return this.state;
  }

  announce(change: Partial<membership.MemberState>): void {
    this.state = { ...this.state, ...change };
    this.sendAll(this.heartbeat());
  }

  listedVms(): ReadonlySet<string> | null {
    return this.listed;
  }

  private heartbeat(): messages.PeerMessage {
    return { type: messages.PeerMessageType.heartbeat, state: this.state };
  }

  /** Whether a member is connected, or has been disconnected for a short time only. */
  private isConnected({ address }: membership.MemberState): boolean {
    const sinceMs = this.connections.get(address)?.disconnectedSinceMs ?? null;
    return sinceMs === null || performance.now() - sinceMs < MAX_DISCONNECTED_MS;
  }

  private encode(message: messages.PeerMessage): Buffer {
    return messages.encodeFrame({ v: messages.FRAME_VERSION, from: this.deps.vm, message });
  }

  sendTo(address: string, message: messages.PeerMessage): boolean {
    this.deps.metrics.count('peer_messages_sent', { type: message.type });
    return this.connectionTo(address).send(this.encode(message));
  }

  private sendToAll(
    members: readonly { readonly address: string }[],
    message: messages.PeerMessage,
  ): void {
    const bytes = this.encode(message);
    this.deps.metrics.count('peer_messages_sent', { type: message.type }, members.length);
    members.forEach(({ address }) => this.connectionTo(address).send(bytes));
  }

  private connectionTo(address: string): PeerConnection {
    const existing = this.connections.get(address);
    if (existing !== undefined) return existing;
    const connection = new PeerConnection(address, this.deps.random, {
      onConnect: (connected) => {
        connected.send(this.encode(this.heartbeat()));
        this.deps.connected.send(connected.address);
      },
      onSent: (bytes) => this.deps.metrics.count('peer_bytes_sent', {}, bytes),
    });
    this.connections.set(address, connection);
    return connection;
  }

  private listen(fail: (err: unknown) => void): Promise<void> {
    const [host, port] = (this.bound || this.deps.listen).split(':');
    const server = net.createServer((socket) => this.accept(socket));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, () => {
        const bound = server.address() as net.AddressInfo;
        this.bound = `${host}:${bound.port}`;
        const address = this.deps.advertised ?? this.bound;
        this.state = { ...this.state, address };
        server.off('error', reject);
        server.on('error', fail);
        resolve();
      });
    });
  }

  private accept(socket: net.Socket): void {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    const splitter = new messages.FrameSplitter(this.deps.maxFrameBytes);
    this.inbound.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.inbound.delete(socket));
    socket.on('data', (bytes) => {
      this.deps.metrics.count('peer_bytes_received', {}, bytes.length);
      const bodies = splitter.push(bytes, peer);
      if (bodies.isErr) {
        this.deps.logger.warn('bad-frame', { peer, reason: bodies.error.message });
        socket.destroy();
        return;
      }
      bodies.value.forEach((body) => this.receive(body, peer));
    });
  }

  private receive(body: Uint8Array, peer: string): void {
    const frame = messages.decodeFrame(body, peer);
    if (frame.isErr) {
      this.deps.metrics.count('peer_frames_refused');
      this.deps.logger.debug('bad-frame', { peer, reason: frame.error.message });
      return;
    }
    const { from, message } = frame.value;
    if (message.type === messages.PeerMessageType.heartbeat) this.receiveHeartbeat(message.state);
    else if (message.type === messages.PeerMessageType.goodbye) this.table.remove(from);
    else if (message.type === messages.PeerMessageType.beat) {
      const { incarnation, revision } = message;
      this.table.beat(this.deps.clock.nowMs(), from, incarnation, revision);
    }
    this.deps.inbox.send({ from, message });
  }

  private receiveHeartbeat(state: membership.MemberState): void {
    if (state.vm === this.deps.vm) return;
    const nowMs = this.deps.clock.nowMs();
    this.table.recordHeartbeat(nowMs, state);
    this.heartbeatAtMs.set(state.address, nowMs);
    if (state.dataCentre === this.deps.dataCentre) this.localAddresses.add(state.address);
    this.connectionTo(state.address);
  }

  private tick(): void {
    const nowMs = this.deps.clock.nowMs();
    const isLocalDue = nowMs - this.localBeatAtMs >= membership.LOCAL_HEARTBEAT_MS;
    const isRemoteDue = nowMs - this.remoteBeatAtMs >= membership.REMOTE_HEARTBEAT_MS;
    if (isLocalDue) this.localBeatAtMs = nowMs;
    if (isRemoteDue) this.remoteBeatAtMs = nowMs;
    // Also sent to unresponsive members, as otherwise two that have removed each other from their
    // membership would never add each other again.
    const due = [...this.connections.keys()].filter((address) =>
      this.localAddresses.has(address) ? isLocalDue : isRemoteDue,
    );
    const { incarnation, revision } = this.state;
    const type = messages.PeerMessageType.beat;
    this.sendToAll(
      due.map((address) => ({ address })),
      { type, incarnation, revision },
    );
    this.removeExpiredConnections(nowMs);
    if (nowMs >= this.listAtMs) void this.readList();
  }

  private removeExpiredConnections(nowMs: number): void {
    const kept = new Set([...this.deps.seeds, ...this.listedAddresses]);
    [...this.connections]
      .filter(([address]) => !kept.has(address))
      .filter(([address]) => nowMs - (this.heartbeatAtMs.get(address) ?? 0) > CONNECTION_EXPIRY_MS)
      .forEach(([address, connection]) => {
        connection.close();
        this.connections.delete(address);
        this.heartbeatAtMs.delete(address);
        this.localAddresses.delete(address);
      });
  }

  private async readList(): Promise<void> {
    this.listAtMs = Infinity;
    await this.readListOnce();
    const isListed = this.listed?.has(this.deps.vm) ?? false;
    const intervalMs = isListed ? LIST_INTERVAL_MS : UNLISTED_LIST_INTERVAL_MS;
    this.listAtMs = this.deps.clock.nowMs() + intervalMs * (0.8 + 0.4 * this.deps.random.real());
  }

  private async readListOnce(): Promise<void> {
    const outcome = await this.deps.platform.vms();
    if (outcome.type !== PlatformOutcome.ok) return;
    this.listed = new Set(outcome.value.map(({ id }) => id));
    this.listedAddresses = outcome.value
      .filter(({ id }) => id !== this.deps.vm)
      .map(({ address }) => address);
    this.listedAddresses.forEach((address) => this.connectionTo(address));
  }
}
