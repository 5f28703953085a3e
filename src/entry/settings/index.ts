/** Task that keeps the settings tree up to date, from the platform store or from peers. */
import type { Channel, Unsubscribe } from '../../core/channels/index.js';
import * as clock from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import * as messages from '../../core/messages/index.js';
import type { Random } from '../../core/random/index.js';
import type { Task } from '../../core/supervisor/index.js';
import * as catalog from '../../decisions/catalog/index.js';
import type * as settingsTree from '../../decisions/settings-tree/index.js';
import type { Inbound, Peers } from '../peers/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';
import { ROOT_KEY, TreeStore } from './tree-store.js';

/** Number of entry VMs per data centre that watch the platform store; peers update the others. */
const MAX_WATCHERS = 2;
const LONG_POLL_MS = 20_000;
/** Interval at which the other entry VMs read the settings, in case no peer has sent an update. */
const POLL_INTERVAL_MS = 30_000;
const RETRY_MS = 500;
const TICK_MS = 250;
/** Timeout of a request to a peer. */
const PEER_TIMEOUT_MS = 1_000;

export interface SettingsDeps {
  readonly vm: string;
  readonly platform: PlatformClient;
  readonly peers: Peers;
  readonly inbox: Channel<Inbound>;
  readonly applied: Channel<catalog.Catalog>;
  readonly clock: clock.Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class SettingsTask implements Task {
  readonly name = 'settings';

  private readonly store: TreeStore;

  private root: settingsTree.TreeRoot | null = null;

  private current: catalog.Catalog | null = null;

  private version = 0;

  private running = false;

  private peerRequestedAtMs = -Infinity;

  private unsubscribe: Unsubscribe = () => undefined;

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly deps: SettingsDeps) {
    this.store = new TreeStore(deps.platform);
  }

  /** The active settings; null until they have been read for the first time. */
  get catalog(): catalog.Catalog | null {
    return this.current;
  }

  async start(fail: (err: unknown) => void): Promise<void> {
    this.running = true;
    this.unsubscribe = this.deps.inbox.subscribe((inbound) => {
      void this.receive(inbound).catch(fail);
    });
    this.timer = setInterval(() => this.requestFromPeer(), TICK_MS);
    await this.readPlatform();
    void this.watchPlatform().catch(fail);
  }

  async stop(): Promise<void> {
    this.running = false;
    this.unsubscribe();
    if (this.timer !== null) clearInterval(this.timer);
  }

  private async watchPlatform(): Promise<void> {
    while (this.running) {
      if (this.isWatcher()) await this.watch();
      else await this.poll();
    }
  }

  private isWatcher(): boolean {
    const names = [this.deps.vm, ...this.deps.peers.localMembers().map(({ vm }) => vm)].sort();
    return names.indexOf(this.deps.vm) < MAX_WATCHERS;
  }

  private async watch(): Promise<void> {
    const outcome = await this.deps.platform.watch(ROOT_KEY, this.version, LONG_POLL_MS);
    if (outcome.type !== PlatformOutcome.ok) {
      await clock.sleep(RETRY_MS * (0.5 + this.deps.random.real()));
    } else if (outcome.value.version !== this.version && this.running) {
      const done = await this.readPlatform();
      if (!done) await clock.sleep(RETRY_MS);
    }
  }

  private async poll(): Promise<void> {
    const untilMs = this.deps.clock.nowMs() + POLL_INTERVAL_MS * (0.5 + this.deps.random.real());
    while (this.running && this.current !== null && this.deps.clock.nowMs() < untilMs) {
      if (this.isWatcher()) return;
      await clock.sleep(TICK_MS);
    }
    const done = this.running && (await this.readPlatform());
    if (!done) await clock.sleep(RETRY_MS);
  }

  private async readPlatform(): Promise<boolean> {
    const stored = await this.store.read();
    if (stored.isErr) {
      this.deps.logger.debug('settings-unread', { reason: stored.error.message });
      return false;
    }
    const { tree, root, version } = stored.value;
    this.apply(tree, root, 'platform');
    this.version = version;
    return true;
  }

  /** Activates a revision if it is newer than the active one. */
  private apply(tree: settingsTree.Tree, root: settingsTree.TreeRoot, from: string): void {
    if (this.current !== null && tree.revision <= this.current.revision) return;
    this.current = catalog.compile(tree);
    this.root = root;
    this.store.retain(root);
    this.peerRequestedAtMs = -Infinity;
    this.deps.logger.info('settings-applied', { revision: tree.revision, from });
    this.deps.applied.send(this.current);
    this.deps.peers.announce({ revision: tree.revision });
  }

  /** Requests the settings from a peer that has a newer revision. */
  private requestFromPeer(): void {
    const own = this.current?.revision ?? -1;
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.peerRequestedAtMs < PEER_TIMEOUT_MS) return;
    const newer = this.deps.peers.members().filter(({ revision }) => revision > own);
    const local = newer.filter(
      ({ dataCentre }) => dataCentre === this.deps.peers.self().dataCentre,
    );
    const peer = this.deps.random.pick(local.length > 0 ? local : newer);
    if (peer === undefined) return;
    this.peerRequestedAtMs = nowMs;
    this.deps.peers.send(peer.vm, {
      type: messages.PeerMessageType.settingsWanted,
      have: Object.values(this.root?.chunks ?? {}),
    });
  }

  private async receive({ from, message }: Inbound): Promise<void> {
    const hasRevision =
      message.type === messages.PeerMessageType.heartbeat ||
      message.type === messages.PeerMessageType.beat;
    if (hasRevision) this.requestFromPeer();
    else if (message.type === messages.PeerMessageType.settingsWanted) {
      this.sendSettings(from, message.have);
    } else if (message.type === messages.PeerMessageType.settings) {
      await this.applyFromPeer(from, message);
    }
  }

  private sendSettings(to: string, have: readonly string[]): void {
    const { root } = this;
    if (root === null) return;
    const known = new Set(have);
    const missing = Object.values(root.chunks).filter((hash) => !known.has(hash));
    const chunks = Object.fromEntries(
      missing.flatMap((hash) => {
        const text = this.store.textOf(hash);
        return text === undefined ? [] : [[hash, text]];
      }),
    );
    const type = messages.PeerMessageType.settings;
    this.deps.peers.send(to, { type, root, chunks });
  }

  private async applyFromPeer(
    from: string,
    { root, chunks }: messages.PeerMessageOf<'settings'>,
  ): Promise<void> {
    if (root.revision <= (this.current?.revision ?? -1)) return;
    this.store.addChunks(new Map(Object.entries(chunks)));
    const stored = await this.store.assemble(root, this.version);
    if (stored.isOk) this.apply(stored.value.tree, root, from);
    else {
      const reason = errors.formatFailure(stored.error);
      this.deps.logger.warn('settings-from-peer-failed', { peer: from, reason });
    }
  }
}
