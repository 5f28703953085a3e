/**
 * Sends the members of a steward the state that has changed: lease, server list, incidents and view.
 *
 * On a link of known rate, changes of the view are sent as far as the budget allows, and full lists
 * after them. A member without a full list uses its own copies.
 */
import type { Clock } from '../../core/clock/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { bestLinkMbps, SendPriority } from '../../decisions/message-pacing/index.js';
import { RESERVE_HOLDERS } from '../../decisions/throttling/index.js';
import type { ControlTraffic } from './control-traffic.js';
import type { EngineController } from './engine-controller.js';
import type { IncidentTask } from './incidents.js';
import { type ModelQueue, sumQueues } from './fleet-queues.js';
import { messageIntervalMs } from './intervals.js';
import { leaseMessageFor } from './lease-messages.js';
import type { LeaseTask } from './lease-task.js';
import {
  type EngineView,
  type LoadView,
  type RelayMessageOf,
  RelayMessageType,
} from './messages.js';
import { SharedMessage } from './packed-messages.js';
import type { ReachabilityTask } from './reachability.js';
import { ServerListCache } from './server-list-publisher.js';
import { FullList, type Member, peersOf } from './steward-member.js';
import type { StoreWatcherTask } from './store-watcher.js';
import type { StreamVersionsTask } from './stream-versions.js';

/** Maximum time between two messages to a member, ms. */
const MAX_UPDATE_PAUSE_MS = 250;
/** The same on a slow link, half of the time after which members give up a silent steward, ms. */
const SLOW_UPDATE_PAUSE_MS = 400;
/**
 * Minimum time between two renewed leases to a member on a slow link, ms. Renewals are frequent while
 * many members join. Only the successor needs each of them: others take a lease later by as much.
 */
const SLOW_LEASE_PAUSE_MS = 500;
/** Minimum time between two lists of peers to a member on a link of known rate, ms. */
const PEERS_PAUSE_MS = 1_000;

type View = RelayMessageOf<'view'>;

export interface MemberUpdatesOptions {
  readonly vm: string;
  readonly members: ReadonlySet<Member>;
  readonly traffic: ControlTraffic;
  readonly storeWatcher: StoreWatcherTask;
  readonly incidents: IncidentTask;
  readonly streams: StreamVersionsTask;
  readonly lease: LeaseTask;
  readonly reachability: ReachabilityTask;
  readonly clock: Clock;
}

/** State that is sent in one planning pass. */
interface Pass {
  readonly nowMs: number;
  readonly engines: readonly EngineView[];
  readonly engineTexts: ReadonlyMap<string, string>;
  readonly running: ReadonlyMap<string, number>;
  /** Tokens that running requests may need, by engine. */
  readonly tokens: ReadonlyMap<string, number>;
  /** Requests that wait at all entry VMs. */
  readonly queues: readonly ModelQueue[];
  readonly loadsKey: string;
  readonly peers: View['peers'] & object;
  readonly peersText: string;
  /** The part of a view that is the same for all members. */
  readonly base: Omit<View, 'mayUseReserve'>;
  /** Messages that several members get, by their content. */
  readonly shared: Map<string, SharedMessage>;
}

export class MemberUpdates {
  private readonly serverListCache = new ServerListCache();

  constructor(private readonly opts: MemberUpdatesOptions) {}

  /**
   * Sends each member the state that changed since the last message to it.
   * @param seeksSuccessor Whether the designated successor is to call the store.
   */
  sendUpdates(nowMs: number, controller: EngineController | null, seeksSuccessor: boolean): void {
    const { members, traffic } = this.opts;
    const pass = this.createPass(nowMs, controller, seeksSuccessor);
    [...members].forEach((member, at) =>
      Object.assign(member, { mayUseReserve: at < RESERVE_HOLDERS }),
    );
    const known = [...members].filter(({ vm }) => vm !== null);
    known.forEach((member) => {
      this.sendRenewedLease(member);
      if (!member.pendingLists.has(FullList.servers)) this.sendServerList(member);
      if (!member.pendingLists.has(FullList.incidents)) this.sendIncidents(member);
    });
    // A budget that does not suffice for all members in a pass goes to those that have waited longest.
    known
      .sort((a, b) => a.sentAtMs - b.sentAtMs)
      .forEach((member) => this.sendChangedView(pass, member));
    Object.values(FullList).forEach((list) => {
      known.forEach((member) => this.sendFullList(pass, member, list));
    });
    known.forEach((member) => this.sendPeers(pass, member));
    traffic.measure(nowMs, members);
  }

  /** Sends a member the streams and, over a link of unknown rate, the server list without waiting for a pass. */
  sendFirstLists(member: Member): void {
    // Few, and only while several versions serve; a member takes up streams as soon as it is connected.
    if (member.pendingLists.delete(FullList.streams)) this.sendStreams(member);
    if (this.opts.traffic.bytesPerS === null) this.sendServerList(member);
  }

  /** Sends a member the changes of the server list, if it has the list. */
  sendServerListChanges(member: Member): void {
    if (!member.pendingLists.has(FullList.servers)) this.sendServerList(member);
  }

  /** Sends a member the incidents that it lacks, if it has the earlier ones. */
  sendIncidentChanges(member: Member): void {
    if (!member.pendingLists.has(FullList.incidents)) this.sendIncidents(member);
  }

  private createPass(
    nowMs: number,
    controller: EngineController | null,
    seeksSuccessor: boolean,
  ): Pass {
    const { storeWatcher, reachability, members, traffic } = this.opts;
    const servers = [...storeWatcher.backends.values()];
    const engines = servers.map((server) => MemberUpdates.engineView(server, controller));
    const loads: LoadView[] = controller?.loads(nowMs) ?? [];
    const peers = peersOf(members);
    const reports = [...members].flatMap(({ report }) => (report === null ? [] : [report]));
    return {
      nowMs,
      engines,
      engineTexts: new Map(engines.map((engine) => [engine.id, JSON.stringify(engine)])),
      running: new Map(engines.map(({ id }) => [id, controller?.runningAt(id) ?? 0])),
      tokens: new Map(engines.map(({ id }) => [id, controller?.tokensAt(id) ?? 0])),
      queues: sumQueues(reports.flatMap(({ waits }) => waits)),
      loadsKey: loads.map(({ service, model, adapter }) => `${service}/${model}/${adapter}`).join(),
      peers,
      peersText: JSON.stringify(peers),
      base: {
        type: RelayMessageType.view,
        whole: false,
        engines: [],
        running: {},
        loads,
        members: reports.length,
        peers: null,
        unreached: [...reachability.partitionedServices()],
        bytesPerS: traffic.bytesPerS,
        bestMbps: bestLinkMbps(reports.map(({ linkMbps }) => linkMbps ?? null)),
        seeksSuccessor,
      },
      shared: new Map(),
    };
  }

  private static engineView(
    server: BackendServer,
    controller: EngineController | null,
  ): EngineView {
    const models = controller?.availableModels(server) ?? [];
    return {
      id: server.id,
      bornMs: server.bornMs,
      models: models.map(({ name, adapters }) => ({ name, adapters: [...adapters] })),
    };
  }

  /** Sends changes of the view; without changes, or a budget for them, only if a message is due. */
  private sendChangedView(pass: Pass, member: Member): void {
    const { nowMs, base, engines, engineTexts, loadsKey } = pass;
    const { traffic } = this.opts;
    const { mayUseReserve } = member;
    const mayChange =
      !member.pendingLists.has(FullList.view) &&
      traffic.allows(nowMs, member, SendPriority.changes);
    const changed = mayChange
      ? engines.filter(({ id }) => member.sentEngines.get(id) !== engineTexts.get(id))
      : [];
    const running = mayChange ? this.changedRunning(pass, member) : [];
    const areLoadsNew = mayChange && member.sentLoads !== loadsKey;
    const isUnchanged = changed.length === 0 && running.length === 0 && !areLoadsNew;
    const pauseMs = traffic.isSlow ? SLOW_UPDATE_PAUSE_MS : MAX_UPDATE_PAUSE_MS;
    if (isUnchanged && nowMs - this.shownAtMs(pass, member) < pauseMs) return;
    const tokens = running.map(([id]) => [id, pass.tokens.get(id) ?? 0] as const);
    const queues = mayChange ? member.queues.changes(nowMs, pass.queues) : [];
    const sent = member.link.send({
      ...base,
      engines: changed,
      running: Object.fromEntries(running),
      tokens: Object.fromEntries(tokens),
      queues,
      mayUseReserve,
    });
    if (!sent) return;
    tokens.forEach(([id, count]) => member.sentTokens.set(id, count));
    member.queues.noteSent(nowMs, queues);
    changed.forEach(({ id }) => member.sentEngines.set(id, engineTexts.get(id) ?? ''));
    running.forEach(([id, count]) => member.sentRunning.set(id, count));
    if (running.length > 0) Object.assign(member, { sentRunningAtMs: nowMs });
    Object.assign(member, { sentLoads: loadsKey, sentAtMs: nowMs });
  }

  /** When the member last got what it needs regularly: for a successor that is sought, the view. */
  private shownAtMs({ base }: Pass, member: Member): number {
    const { traffic, lease } = this.opts;
    const isSought =
      base.seeksSuccessor === true && lease.heldLease()?.lease.heir?.vm === member.vm;
    return isSought ? member.sentAtMs : traffic.shownAtMs(member);
  }

  /** Changed numbers of running requests by engine, at an interval that grows with the fleet. */
  private changedRunning(
    { nowMs, running, tokens }: Pass,
    member: Member,
  ): readonly (readonly [string, number])[] {
    if (nowMs - member.sentRunningAtMs < messageIntervalMs(this.opts.members.size)) return [];
    return [...running].filter(
      ([id, count]) =>
        count !== (member.sentRunning.get(id) ?? 0) ||
        (tokens.get(id) ?? 0) !== (member.sentTokens.get(id) ?? 0),
    );
  }

  private sendFullList(pass: Pass, member: Member, list: FullList): void {
    if (!member.pendingLists.has(list)) return;
    if (!this.opts.traffic.allows(pass.nowMs, member, SendPriority.lists)) return;
    switch (list) {
      case FullList.servers:
        this.sendServerList(member);
        break;
      case FullList.view:
        this.sendFullView(pass, member);
        break;
      case FullList.streams:
        this.sendStreams(member);
        member.pendingLists.delete(list);
        break;
      default:
        this.sendIncidents(member);
        member.pendingLists.delete(list);
    }
  }

  private sendFullView(pass: Pass, member: Member): void {
    const { nowMs, base, engines, engineTexts, running, tokens, loadsKey } = pass;
    const { mayUseReserve } = member;
    const message = MemberUpdates.share(pass, `view ${mayUseReserve}`, () => ({
      ...base,
      whole: true,
      engines: [...engines],
      running: Object.fromEntries(running),
      tokens: Object.fromEntries(tokens),
      mayUseReserve,
    }));
    if (!member.link.sendShared(message)) return;
    tokens.forEach((count, id) => member.sentTokens.set(id, count));
    member.pendingLists.delete(FullList.view);
    engineTexts.forEach((text, id) => member.sentEngines.set(id, text));
    running.forEach((count, id) => member.sentRunning.set(id, count));
    Object.assign(member, { sentLoads: loadsKey, sentAtMs: nowMs, sentRunningAtMs: nowMs });
  }

  private sendPeers(pass: Pass, member: Member): void {
    const { nowMs, base, peers, peersText } = pass;
    const { traffic } = this.opts;
    if (member.sentPeers === peersText) return;
    const isPaced = traffic.bytesPerS !== null && nowMs - member.sentPeersAtMs < PEERS_PAUSE_MS;
    if (isPaced || !traffic.allows(nowMs, member, SendPriority.lists)) return;
    const { mayUseReserve } = member;
    const message = MemberUpdates.share(pass, `peers ${mayUseReserve}`, () => ({
      ...base,
      peers,
      mayUseReserve,
    }));
    if (member.link.sendShared(message))
      Object.assign(member, { sentPeers: peersText, sentPeersAtMs: nowMs });
  }

  private static share({ shared }: Pass, key: string, create: () => View): SharedMessage {
    const message = shared.get(key) ?? new SharedMessage(create());
    shared.set(key, message);
    return message;
  }

  /** Sends a member the changes of the server list, or all of it. */
  private sendServerList(member: Member): void {
    const { storeWatcher } = this.opts;
    const freshness = storeWatcher.freshness().backends;
    if (member.vm === this.opts.vm) member.pendingLists.delete(FullList.servers);
    if (freshness === null || member.vm === this.opts.vm) return;
    const update = member.beliefs.nextUpdate(this.serverListCache.listFor(storeWatcher), freshness);
    member.pendingLists.delete(FullList.servers);
    if (update === null || member.link.sendShared(new SharedMessage(update))) return;
    member.beliefs.resendAll();
    member.pendingLists.add(FullList.servers);
  }

  private sendIncidents(member: Member): void {
    const message = member.incidents.nextMessage(this.opts.incidents);
    if (message !== null && !member.link.sendShared(new SharedMessage(message)))
      member.incidents.resendAll();
  }

  private sendStreams({ link }: Member): void {
    const message = this.opts.streams.fullMessage();
    if (message !== null) link.sendShared(new SharedMessage(message));
  }

  private sendRenewedLease(member: Member): void {
    const held = this.opts.lease.heldLease();
    if (held === null || held.version === member.sentLeaseVersion) return;
    const nowMs = this.opts.clock.nowMs();
    const isPaced = this.opts.traffic.isSlow && held.lease.heir?.vm !== member.vm;
    if (isPaced && nowMs - member.sentLeaseAtMs < SLOW_LEASE_PAUSE_MS) return;
    if (member.link.send(leaseMessageFor(member, held, false, nowMs))) {
      Object.assign(member, { sentLeaseVersion: held.version, sentLeaseAtMs: nowMs });
    }
  }
}
