/** The task that talks to the other entry VMs: listener, connections, heartbeats, membership. */
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
import { Link } from './link.js';

const TICK_MS = 250;
/** Time between looks at the platform's VM list. */
const LIST_EVERY_MS = 5_000;
/** The same while the list, which lags, does not name this entry VM yet. */
const LIST_EVERY_UNLISTED_MS = 500;
/** Time without a word from an address before its link is given up, unless the list names it. */
const LINK_FORGET_MS = 60_000;
/** A member whose connection is down for this long is not counted on. */
const LINK_DOWN_MS = 1_000;

/** A message that came from a peer. */
export interface Inbound {
  readonly from: string;
  readonly message: messages.PeerMessage;
}

/** What other tasks may do with the peers. */
export interface Peers {
  /** Sends to one entry VM, this one included; false where it cannot be reached now. */
  send(vm: string, message: messages.PeerMessage): boolean;
  /** Sends to whoever listens at an address. */
  sendTo(address: string, message: messages.PeerMessage): boolean;
  /** Sends to every member of this data centre that is alive, but not to this entry VM. */
  sendNear(message: messages.PeerMessage): void;
  /** Sends to every peer that is known, heard of or not yet. */
  sendAll(message: messages.PeerMessage): void;
  members(): readonly membership.MemberState[];
  nearMembers(): readonly membership.MemberState[];
  /** The steward of a data centre, which may be this entry VM. */
  stewardOf(dataCentre: string): membership.MemberState | null;
  /** What this entry VM says of itself. */
  self(): membership.MemberState;
  /** Changes that, and tells everybody at once. */
  announce(change: Partial<membership.MemberState>): void;
  /** VM ids in the platform's list as last read; null before the first time. */
  listedVms(): ReadonlySet<string> | null;
}

export interface PeersDeps {
  readonly vm: string;
  readonly dataCentre: string;
  readonly listen: string;
  /** Address that other entry VMs use; undefined for the one it listens on. */
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
  /** Tells the address of each peer to which a connection was made. */
  readonly linked: Channel<string>;
}

export class PeersTask implements Task, Peers {
  readonly name = 'peers';

  private readonly links = new Map<string, Link>();

  private readonly heardAtMs = new Map<string, number>();

  /** Addresses of members of this data centre, alive or not. */
  private readonly nearAddresses = new Set<string>();

  private readonly table: membership.Membership;

  private state: membership.MemberState;

  private server: net.Server | null = null;

  private bound = '';

  private readonly inbound = new Set<net.Socket>();

  private timers: NodeJS.Timeout[] = [];

  private nearAtMs = 0;

  private farAtMs = 0;

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

  /** Address that the task listens on. */
  get boundAddress(): string {
    return this.bound;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    await this.listen(fail);
    this.deps.seeds
      .filter((address) => address !== this.state.address)
      .forEach((address) => this.linkTo(address));
    this.timers = [setInterval(() => this.tick(), TICK_MS)];
    await this.readList();
  }

  async stop(): Promise<void> {
    this.sendAll({ type: messages.PeerMessageType.goodbye });
    this.timers.forEach((timer) => clearInterval(timer));
    this.links.forEach((link) => link.close());
    this.links.clear();
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

  sendNear(message: messages.PeerMessage): void {
    this.sendToAll(this.nearMembers(), message);
  }

  sendAll(message: messages.PeerMessage): void {
    // A peer that is connected and not heard yet would miss what is sent only once.
    this.sendToAll(
      [...this.links.keys()].map((address) => ({ address })),
      message,
    );
  }

  members(): readonly membership.MemberState[] {
    return this.table.alive(this.deps.clock.nowMs()).filter((state) => this.isLinked(state));
  }

  nearMembers(): readonly membership.MemberState[] {
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

  /** Whether messages reach a member, or have not for a short time only. */
  private isLinked({ address }: membership.MemberState): boolean {
    const downSinceMs = this.links.get(address)?.downSinceMs ?? null;
    return downSinceMs === null || performance.now() - downSinceMs < LINK_DOWN_MS;
  }

  private encode(message: messages.PeerMessage): Buffer {
    return messages.encodeFrame({ v: messages.FRAME_VERSION, from: this.deps.vm, message });
  }

  sendTo(address: string, message: messages.PeerMessage): boolean {
    this.deps.metrics.count('peer_messages_sent', { type: message.type });
    return this.linkTo(address).send(this.encode(message));
  }

  private sendToAll(
    members: readonly { readonly address: string }[],
    message: messages.PeerMessage,
  ): void {
    const bytes = this.encode(message);
    this.deps.metrics.count('peer_messages_sent', { type: message.type }, members.length);
    members.forEach(({ address }) => this.linkTo(address).send(bytes));
  }

  private linkTo(address: string): Link {
    const known = this.links.get(address);
    if (known !== undefined) return known;
    const link = new Link(address, this.deps.random, {
      onConnect: (connected) => {
        connected.send(this.encode(this.heartbeat()));
        this.deps.linked.send(connected.address);
      },
      onSent: (bytes) => this.deps.metrics.count('peer_bytes_sent', {}, bytes),
    });
    this.links.set(address, link);
    return link;
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
    if (message.type === messages.PeerMessageType.heartbeat) this.heard(message.state);
    else if (message.type === messages.PeerMessageType.goodbye) this.table.left(from);
    else if (message.type === messages.PeerMessageType.beat) {
      const { incarnation, revision } = message;
      this.table.beat(this.deps.clock.nowMs(), from, incarnation, revision);
    }
    this.deps.inbox.send({ from, message });
  }

  private heard(state: membership.MemberState): void {
    if (state.vm === this.deps.vm) return;
    const nowMs = this.deps.clock.nowMs();
    this.table.heard(nowMs, state);
    this.heardAtMs.set(state.address, nowMs);
    if (state.dataCentre === this.deps.dataCentre) this.nearAddresses.add(state.address);
    this.linkTo(state.address);
  }

  private tick(): void {
    const nowMs = this.deps.clock.nowMs();
    const near = nowMs - this.nearAtMs >= membership.NEAR_HEARTBEAT_MS;
    const far = nowMs - this.farAtMs >= membership.FAR_HEARTBEAT_MS;
    if (near) this.nearAtMs = nowMs;
    if (far) this.farAtMs = nowMs;
    // Members that went silent are told too, or two that lost each other would never meet again.
    const due = [...this.links.keys()].filter((address) =>
      this.nearAddresses.has(address) ? near : far,
    );
    const { incarnation, revision } = this.state;
    const type = messages.PeerMessageType.beat;
    this.sendToAll(
      due.map((address) => ({ address })),
      { type, incarnation, revision },
    );
    this.forgetLinks(nowMs);
    if (nowMs >= this.listAtMs) void this.readList();
  }

  private forgetLinks(nowMs: number): void {
    const kept = new Set([...this.deps.seeds, ...this.listedAddresses]);
    [...this.links]
      .filter(([address]) => !kept.has(address))
      .filter(([address]) => nowMs - (this.heardAtMs.get(address) ?? 0) > LINK_FORGET_MS)
      .forEach(([address, link]) => {
        link.close();
        this.links.delete(address);
        this.heardAtMs.delete(address);
        this.nearAddresses.delete(address);
      });
  }

  private async readList(): Promise<void> {
    this.listAtMs = Infinity;
    await this.readListOnce();
    const isListed = this.listed?.has(this.deps.vm) ?? false;
    const everyMs = isListed ? LIST_EVERY_MS : LIST_EVERY_UNLISTED_MS;
    this.listAtMs = this.deps.clock.nowMs() + everyMs * (0.8 + 0.4 * this.deps.random.real());
  }

  private async readListOnce(): Promise<void> {
    const outcome = await this.deps.platform.vms();
    if (outcome.type !== PlatformOutcome.ok) return;
    this.listed = new Set(outcome.value.map(({ id }) => id));
    this.listedAddresses = outcome.value
      .filter(({ id }) => id !== this.deps.vm)
      .map(({ address }) => address);
    this.listedAddresses.forEach((address) => this.linkTo(address));
  }
}
