/** Creates and connects the components of the relay daemon. */
import * as channels from '../../core/channels/index.js';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import { createMetrics } from '../../core/metrics/index.js';
import { createRandom } from '../../core/random/index.js';
import type { RelaySettings } from '../../core/settings/index.js';
import { createSupervisor } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { RetryWindow } from '../../decisions/retries/index.js';
import { allows, Homes } from '../../decisions/homes/index.js';
import * as stopRules from '../../decisions/stopping/index.js';
import { Admission } from './admission.js';
import { BodyMemory } from './body-memory.js';
import { CallerServerTask, closesConnection, sendLocalResponse } from './caller-server.js';
import { ConnectionPool } from './connections.js';
import type { RelayContext } from './context.js';
import { Dispatcher } from './dispatch.js';
import { EvacuationTask } from './evacuations.js';
import { FirstTokens } from './first-tokens.js';
import { FleetView, type Need } from './fleet-view.js';
import { type FleetChange, StoreWatcherTask } from './store-watcher.js';
import { IncidentRecordTask } from './incident-record.js';
import { IncidentTask } from './incidents.js';
import { KeptPrompts } from './kept-prompts.js';
import { LeaseTask } from './lease-task.js';
import { LoanMetrics } from './loan-observer.js';
import { LoopDelayTask } from './loop-delay.js';
import { MemoryPermits } from './memory-permits.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import { PeerConnector } from './peer-connector.js';
import { PeerRelay } from './peer-relay.js';
import { ReachabilityTask } from './reachability.js';
import { ReadinessTask } from './readiness.js';
import { ReporterTask } from './reporter.js';
import { FleetLimits } from './request-limits.js';
import { ResponseMemory } from './response-memory.js';
import { StewardTask } from './steward.js';
import { StewardAnnouncements } from './steward-announcements.js';
import { StewardLink } from './steward-link.js';
import { StreamRecordTask } from './stream-record.js';
import { StreamVersionsTask } from './stream-versions.js';
import { memoryTokens, ServerTokens } from './server-tokens.js';
import { ServerSlotsTask } from './server-slots.js';
import { ThrottlingTask } from './throttling.js';
import type { PlatformWire } from './types.js';
import { WorkTurns } from './work-turns.js';

/** Retry-After when the time until capacity is available is unknown, ms. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Cached keys expire this long before the platform's limit, ms, to cover requests in flight. */
const KEY_FRESHNESS_MARGIN_MS = 500;
/** Age of the cached plan beyond which it may lack newly added routes and keys, ms. */
const STALE_PLAN_MS = 3_500;
/** Interval at which requests in progress are checked during shutdown, ms. */
const STOP_POLL_MS = 50;
/** Time to flush the last messages during shutdown, ms. */
const FLUSH_MS = 20;
/** Margin to flush the last responses before the platform kills the process, ms. */
const STOP_MARGIN_MS = 400;

const BYTES_PER_MB = 1_048_576;

/** A running relay. */
export interface Relay {
  /**
   * Shuts down gracefully: serves the requests in progress first. Further calls join the shutdown in
   * progress.
   */
  stop(): Promise<void>;
}

/** Creates and starts the relay; resolves once all of its tasks are running. */
export async function startRelay(
  settings: RelaySettings,
  wire: PlatformWire,
  logger: Logger,
): Promise<Relay> {
  const { vm, listen, relay } = settings;
  logger.info('started', { dataCentre: vm.dataCentre });
  const clock = clocks.createClock();
  const random = createRandom(Date.now() + process.pid);
  const metrics = createMetrics();
  const store = wire.createStore(
    settings.platform.address,
    settings.platform.timeoutMs,
    logger.child('store'),
  );
  const changed = channels.createChannel<FleetChange>((err) => {
    logger.error('message-failed', { reason: errors.describe(err) });
  });
  let stopping = false;
  let stopAtMs = Infinity;
  const graceMs = settings.stop.graceMs - STOP_MARGIN_MS;

  // Components that are created later but used in callbacks of earlier ones.
  const lateBound: {
    lease?: LeaseTask;
    dispatcher?: Dispatcher;
    reporter?: ReporterTask;
    view?: FleetView;
    firstTokens?: FirstTokens;
    link?: StewardLink;
    steward?: StewardTask;
    reachability?: ReachabilityTask;
    streamRecord?: StreamRecordTask;
    throttling?: ThrottlingTask;
  } = {};
  const isSteward = () => lateBound.lease !== undefined && lateBound.lease.fence() > 0;
  const isStewardConnected = () => lateBound.link?.isStewardConnected === true;
  const storeWatcher = new StoreWatcherTask({
    wire,
    store,
    clock,
    logger: logger.child('follower'),
    changed,
    isSteward,
    onOutage: () => lateBound.streamRecord?.noteOutage(),
  });
  const evacuations = new EvacuationTask({
    evacuateMs: relay.evacuateMs,
    wire,
    store,
    storeWatcher,
    clock,
    logger: logger.child('evacuations'),
    metrics,
    changed,
    isSteward,
    onTakenBack: (dataCentres) =>
      lateBound.throttling?.presumeCold(
        [...storeWatcher.backends.values()].filter(({ dataCentre }) =>
          dataCentres.includes(dataCentre),
        ),
      ),
  });
  const incidents = new IncidentTask({
    storeWatcher,
    clock,
    logger: logger.child('incidents'),
    metrics,
    send: (message) => lateBound.link?.send(message) === true,
    mayProbe: () => isSteward() || !isStewardConnected(),
  });
  const retries = new RetryWindow(relay.retries, clock.steadyMs());
  const connections = new ConnectionPool();
  const memory = new ResponseMemory({
    maxBytes: relay.memory.responseMb * BYTES_PER_MB,
    logger: logger.child('memory'),
    metrics,
  });
  const throttling = new ThrottlingTask({
    clock,
    logger: logger.child('throttling'),
    metrics,
    coldBounds: relay.cold,
    isSteward,
    members: () => lateBound.view?.members ?? 1,
    isStewardConnected,
    send: (message) => lateBound.link?.send(message) === true,
  });
  lateBound.throttling = throttling;
  const slots = new ServerSlotsTask({
    clock,
    random,
    logger: logger.child('slots'),
    metrics,
    servers: () => storeWatcher.backends,
    members: () => lateBound.view?.members ?? 1,
    isStewardConnected,
    send: (message) => lateBound.link?.send(message) === true,
  });
  const limits = new FleetLimits(throttling, slots);
  const streams = new StreamVersionsTask({
    clock,
    logger: logger.child('streams'),
    send: (message) => lateBound.link?.send(message) === true,
    isLoaded: () =>
      lateBound.streamRecord?.isStale === false &&
      (lateBound.streamRecord.isLoaded || isStewardConnected()),
    confirmServers: (sinceMs) => storeWatcher.confirmBackends(sinceMs),
  });
  const streamRecord = new StreamRecordTask({
    vm: vm.id,
    store,
    clock,
    logger: logger.child('stream-record'),
    streams,
    isSteward,
    isStewardConnected,
    members: () => lateBound.view?.members ?? 1,
    unixMs: () => Date.now(),
  });
  lateBound.streamRecord = streamRecord;
  const record = new IncidentRecordTask({
    store,
    clock,
    logger: logger.child('incident-record'),
    incidents,
    isSteward,
    isStewardConnected,
    unixMs: () => Date.now(),
  });
  const linkMbps = vm.linkMbps ?? null;
  const announcements = new StewardAnnouncements(linkMbps);
  const lease = new LeaseTask({
    vm: vm.id,
    address: listen.peers,
    durationMs: settings.lease.durationMs,
    marginMs: settings.lease.marginMs,
    store,
    clock,
    logger: logger.child('lease'),
    isStewardConnected,
    linkMbps,
    acquireWaitMs: () => announcements.acquireWaitMs(settings.lease.durationMs),
    onProbeAnswered: () => lateBound.reporter?.reportNow(),
    enginesCheckFences: () => relay.enginesCheckFences,
    note: (before) => lateBound.steward?.note(before),
    noteDetails: (before) => lateBound.steward?.noteDetails(before),
    onNoteWritten: (...written) => lateBound.steward?.onNoteWritten(...written),
    heir: () => lateBound.steward?.heir() ?? null,
    sendLateRenewal: (renewal) => lateBound.steward?.sendLateRenewal(renewal),
  });
  lateBound.lease = lease;
  const noteConnectFailure = (server: BackendServer, startedAtMs: number) => {
    lateBound.view?.health.noteConnectFailure(clock.steadyMs(), server.id, startedAtMs);
    lateBound.reachability?.noteConnectFailure(server, startedAtMs);
  };
  const { regions } = settings;
  const homes = new Homes({ region: vm.region ?? regions[vm.dataCentre] ?? null, regions });
  const peers = new PeerConnector({
    vm: vm.id,
    homes,
    dataCentre: vm.dataCentre,
    clock,
    random,
    logger: logger.child('peers'),
    metrics,
    servers: () => storeWatcher.backends,
    isPartitioned: (service) => lateBound.reachability?.isPartitioned(service) === true,
    noteConnectFailure,
  });
  const mayServe = (server: BackendServer, { dataCentres }: Need) =>
    evacuations.allows(server) && allows(dataCentres, server.dataCentre);
  const memoryTokensOf = (service: string) => memoryTokens(storeWatcher.plan, service);
  const memoryPermits = new MemoryPermits({
    clock,
    metrics,
    isStewardConnected,
    send: (message) => lateBound.link?.send(message) === true,
    place: (requestId, serverId) => lateBound.dispatcher?.placeWithPermit(requestId, serverId),
  });
  const tokens = new ServerTokens({
    metrics,
    memoryTokens: memoryTokensOf,
    isStewardConnected,
    members: () => lateBound.view?.members ?? 1,
    runMs: (service) => lateBound.firstTokens?.runMs(service) ?? null,
    permits: memoryPermits,
  });
  const view = new FleetView(
    storeWatcher,
    clock,
    isStewardConnected,
    limits,
    peers,
    tokens,
    mayServe,
  );
  lateBound.view = view;
  // Idle connections may have broken in the partition, which would be seen by requests only.
  const noteReachable = (service: string) => {
    peers.noteServiceReachable(service);
    view.noteReachable(service);
    storeWatcher.backends.forEach((server) => {
      if (server.service === service) connections.closeIdleTo(server);
    });
  };
  const reachability = new ReachabilityTask({
    clock,
    logger: logger.child('reachability'),
    metrics,
    backends: () => storeWatcher.backends,
    silentServices: (silenceMs) => view.silentServices(silenceMs),
    onChange: (service, isPartitioned) => {
      if (!isPartitioned) noteReachable(service);
      lateBound.dispatcher?.schedulePlacement();
      lateBound.reporter?.reportNow();
    },
  });
  lateBound.reachability = reachability;
  const peerRelay = new PeerRelay({
    clock,
    logger: logger.child('peer-relay'),
    metrics,
    serverOf: (id) => storeWatcher.backends.get(id),
    isPaused: (server) => view.isPaused(server) || !evacuations.allows(server),
    isUnreachable: (server) => peers.isUnreachable(server),
    isStopping: () => stopping,
    noteConnectFailure,
    noteStatement: (server, statement, sentAtMs) => {
      throttling.noteResponse(server, statement, sentAtMs);
      if (statement.leaving) storeWatcher.noteLeaving(server);
      if (statement.pauseMs !== null) view.notePause(server, statement.pauseMs);
    },
  });
  const prompts = new KeptPrompts({
    metrics,
    servers: () => storeWatcher.backends,
    memoryTokens: memoryTokensOf,
    members: () => view.members,
  });
  const firstTokens = new FirstTokens({
    dataCentre: vm.dataCentre,
    clock,
    logger: logger.child('first-tokens'),
    metrics,
    prompts,
  });
  lateBound.firstTokens = firstTokens;
  const dispatcher = new Dispatcher({
    isStewardConnected,
    dataCentre: vm.dataCentre,
    storeWatcher,
    view,
    limits,
    firstTokens,
    memory: tokens,
    memoryPermits,
    clock,
    random,
    onEnqueue: () => lateBound.reporter?.reportNow(),
  });
  lateBound.dispatcher = dispatcher;
  const admission = new Admission({
    clock,
    observer: new LoanMetrics(metrics, logger.child('loans')),
    ask: (ask) => lateBound.link?.send({ type: RelayMessageType.ask, ...ask }) === true,
  });
  clock.onJump(() => admission.handleSuspension());
  const handleMessage = (message: RelayMessage) => {
    switch (message.type) {
      case RelayMessageType.welcome:
        lease.noteFence(message.fence);
        slots.handleWelcome(message);
        announcements.handleWelcome(message);
        break;
      case RelayMessageType.lease:
        lease.handleLeaseMessage(message, message.heirTerm);
        if (message.isGivenUp) lease.noteInactive(message.lease.epoch, message.lease.epoch);
        break;
      case RelayMessageType.view:
        view.applyView(message);
        announcements.handleView(message);
        if (message.seeksSuccessor === true) lease.probeStore();
        prompts.noteEngines(message.engines);
        dispatcher.applyQueues(message);
        retries.noteMembers(message.members);
        connections.noteMembers(message.members);
        if (message.peers !== null) peers.setPeers(message.peers);
        throttling.setReserve(message.mayUseReserve);
        slots.noteMembers(message.members);
        message.unreached.forEach((service) => reachability.noteSuspicion(service));
        metrics.gauge('relay_members', message.members);
        dispatcher.schedulePlacement();
        break;
      case RelayMessageType.grant:
        admission.applyGrant(message);
        storeWatcher.applyConfirmation(message);
        evacuations.applyConfirmation(message);
        break;
      case RelayMessageType.confirm:
        storeWatcher.applyConfirmation(message);
        evacuations.applyConfirmation(message);
        break;
      case RelayMessageType.beliefs:
        storeWatcher.applyServerListUpdate(message);
        break;
      case RelayMessageType.plan:
        storeWatcher.applyStewardPlan(message);
        break;
      case RelayMessageType.lent:
        admission.handleLoanReply(message);
        break;
      case RelayMessageType.incidents:
        incidents.handleStewardIncidents(message);
        break;
      case RelayMessageType.ranWhole:
        incidents.clearCompleted(message);
        break;
      case RelayMessageType.throttles:
        throttling.handleStewardThrottles(message);
        dispatcher.schedulePlacement();
        break;
      case RelayMessageType.streams:
        streams.addReceived(message);
        break;
      case RelayMessageType.slots:
        slots.handleSlots(message);
        dispatcher.schedulePlacement();
        break;
      case RelayMessageType.memoryReply:
        memoryPermits.handleReply(message);
        break;
      case RelayMessageType.permits:
        throttling.handlePermits(message);
        dispatcher.schedulePlacement();
        break;
      default:
    }
  };
  const link = new StewardLink(clock, logger.child('link'), {
    message: handleMessage,
    connected: () => {
      admission.resetSeq();
      storeWatcher.discardStewardList();
      incidents.sendAll();
      throttling.sendAll();
      slots.handleConnected();
      memoryPermits.reset();
      streams.sendAll();
      lateBound.steward?.sendPendingRenewal();
    },
    welcomed: () => lateBound.reporter?.sendFullReport(),
    gone: (lost, newestFence) => lease.noteInactive(lost.fence, newestFence),
  });
  lateBound.link = link;
  const isStopping = () => stopping;
  const reporter = new ReporterTask({
    vm: vm.id,
    address: listen.peers,
    dataCentre: vm.dataCentre,
    link,
    lease,
    admission,
    dispatcher,
    view,
    reachability,
    clock,
    announcements,
    linkMbps,
    planVersion: () => storeWatcher.planVersion,
    members: () => view.members,
    memorySeen: () => memoryPermits.seen,
    isStopping,
    evacuations: () => evacuations.unknownToSteward(),
  });
  lateBound.reporter = reporter;
  const steward = new StewardTask({
    vm: vm.id,
    listen: listen.peers,
    wire,
    storeWatcher,
    evacuations,
    incidents,
    throttling,
    slots,
    streams,
    lease,
    reachability,
    leaseMs: settings.lease.durationMs,
    linkMbps,
    clock,
    logger: logger.child('steward'),
    metrics,
    peerRelay,
    send: (message) => link.send(message),
  });
  lateBound.steward = steward;
  const keyFreshnessMs = relay.keyRevocationMs - KEY_FRESHNESS_MARGIN_MS;
  const ctx: RelayContext = {
    wire,
    admission,
    dispatcher,
    view,
    firstTokens,
    reachability,
    connections,
    peers,
    retries,
    incidents,
    streams,
    throttling: limits,
    memory,
    turns: new WorkTurns(),
    clock,
    metrics,
    defaultRetryAfterMs: DEFAULT_RETRY_AFTER_MS,
    closesConnection: (res) => closesConnection(res, stopping),
    acceptsRequest: (request) =>
      stopRules.acceptsRequest(clock.steadyMs() - stopAtMs, graceMs, request),
    hasFreshKeys: (customer) => customer === null || storeWatcher.planAgeMs() < keyFreshnessMs,
    noteLeaving: (server) => storeWatcher.noteLeaving(server),
    recordModelUse: (model) => reporter.noteUse(model),
    log: (event, id, fields) => logger.info(event, { id, ...fields }),
    reportException: (id, err) =>
      logger.error('handler-failed', { id, ...errors.describeWithStack(err) }),
    sendLocalResponse: (res, id, failure, retryAfterMs) => {
      metrics.count('relay_local_responses_total', { reason: failure.name });
      sendLocalResponse(res, wire.localResponseHeaders(id), failure, retryAfterMs, stopping);
    },
  };
  const callerServer = new CallerServerTask({
    listen: listen.callers,
    ctx,
    storeWatcher,
    random,
    homes,
    logger: logger.child('front'),
    bodies: new BodyMemory(relay.memory.requestMb * BYTES_PER_MB),
    staleAfterMs: STALE_PLAN_MS,
  });
  const readiness = new ReadinessTask({
    listen: listen.admin,
    path: wire.readinessPath,
    metrics,
    isReady: () =>
      !stopping &&
      ((record.isLoaded && streamRecord.isLoaded) || isStewardConnected()) &&
      evacuations.isKnown &&
      storeWatcher.plan !== null &&
      storeWatcher.planAgeMs() < keyFreshnessMs,
  });
  changed.subscribe(({ plan, backends }) => {
    throttling.noteServers(storeWatcher.backends, storeWatcher.plan);
    if (plan && storeWatcher.plan !== null) {
      admission.setCustomers(storeWatcher.plan.customers);
      callerServer.applyLimits();
    }
    if (backends) {
      connections.retain(storeWatcher.backends);
      peers.retain(storeWatcher.backends);
      throttling.retain(storeWatcher.backends);
      reachability.noteServers(storeWatcher.backends);
      slots.retain(storeWatcher.backends);
      firstTokens.retain(storeWatcher.backends);
      streams.noteServers(storeWatcher.backends);
      incidents.resolveIncidents();
    }
    dispatcher.schedulePlacement();
  });

  const loopDelay = new LoopDelayTask({
    clock,
    logger: logger.child('loop'),
    metrics,
    cpuUsage: () => process.cpuUsage(),
    active: () => callerServer.activeCount,
    queued: () => dispatcher.queuedCount,
  });
  const tasks = [
    loopDelay,
    storeWatcher,
    evacuations,
    reachability,
    steward,
    peers,
    lease,
    reporter,
    incidents,
    throttling,
    slots,
    streams,
    streamRecord,
    record,
    callerServer,
    readiness,
  ];
  const supervisor = createSupervisor(tasks, logger.child('supervisor'));
  await supervisor.start();
  dispatcher.start();

  const drain = async (untilMs: number): Promise<void> => {
    const detectedAtMs = clock.steadyMs() + stopRules.SHUTDOWN_DETECTION_MS;
    while (clock.steadyMs() < untilMs) {
      if (clock.steadyMs() >= detectedAtMs) {
        callerServer.closeIdle();
        if (callerServer.activeCount === 0 && peerRelay.activeCount === 0) return;
      }
      await clocks.sleep(STOP_POLL_MS);
    }
  };
  const shutDown = async (): Promise<void> => {
    stopping = true;
    logger.info('stopping');
    stopAtMs = clock.steadyMs();
    const untilMs = stopAtMs + graceMs;
    await steward.handOver();
    await drain(untilMs);
    await callerServer.drain(untilMs);
    callerServer.endOpenRequests();
    peerRelay.close();
    reporter.sendFinalReport();
    await clocks.sleep(FLUSH_MS);
    dispatcher.stop();
    await supervisor.stop();
    connections.close();
    await Promise.all([store.close(), wire.close()]);
  };
  let stopped: Promise<void> | null = null;
  return {
    stop() {
      stopped ??= shutDown();
      return stopped;
    },
  };
}
