/** Wires the parts of a daemon that relays callers' requests on a platform. */
import * as channels from '../../core/channels/index.js';
import * as clocks from '../../core/clock/index.js';
import * as errors from '../../core/errors/index.js';
import type { Logger } from '../../core/logger/index.js';
import { createMetrics } from '../../core/metrics/index.js';
import { createRandom } from '../../core/random/index.js';
import type { RelaySettings } from '../../core/settings/index.js';
import { createSupervisor } from '../../core/supervisor/index.js';
import { RetryWindow } from '../../decisions/retries/index.js';
import * as stopRules from '../../decisions/stopping/index.js';
import { Admission } from './admission.js';
import { Connections } from './connections.js';
import type { RelayContext } from './context.js';
import { Dispatcher } from './dispatch.js';
import { FleetView } from './fleet-view.js';
import { type FleetChange, FollowerTask } from './follower.js';
import { FrontTask, replyOwn } from './front.js';
import { IncidentRecordTask } from './incident-record.js';
import { IncidentTask } from './incidents.js';
import { LeaseTask } from './lease-task.js';
import { type RelayMessage, RelayMessageType } from './messages.js';
import { ReadyTask } from './ready.js';
import { ReporterTask } from './reporter.js';
import { StewardTask } from './steward.js';
import { StewardLink } from './steward-link.js';
import type { PlatformWire } from './types.js';

/** Return time where nothing is known of when a request can be served, ms. */
const USUAL_RETURN_MS = 1_000;
/** Keys are trusted this much shorter than the platform allows, ms: requests are on their way. */
const KEY_MARGIN_MS = 500;
/** A plan that is older than this may lack what the operator has added, ms. */
const STALE_PLAN_MS = 3_500;
/** Requests under way are looked at this often while stopping, ms. */
const STOP_POLL_MS = 50;
/** Time for the last messages to leave, ms. */
const LAST_MESSAGES_MS = 20;
/** Time left for the last answers to leave before the platform ends the process, ms. */
const STOP_MARGIN_MS = 400;

/** A running relay. */
export interface Relay {
  /** Stops without cutting a request. */
  stop(): Promise<void>;
}

/** Creates and starts the daemon. */
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
  const store = wire.createStore(settings.platform.address, settings.platform.timeoutMs);
  const changed = channels.createChannel<FleetChange>((err) => {
    logger.error('message-failed', { reason: errors.describe(err) });
  });
  let stopping = false;
  let stopAtMs = Infinity;
  const graceMs = settings.stop.graceMs - STOP_MARGIN_MS;

  const parts: {
    lease?: LeaseTask;
    reporter?: ReporterTask;
    link?: StewardLink;
    steward?: StewardTask;
  } = {};
  const isSteward = () => parts.lease !== undefined && parts.lease.fence() > 0;
  const follower = new FollowerTask({
    wire,
    store,
    clock,
    logger: logger.child('follower'),
    changed,
    isSteward,
  });
  const incidents = new IncidentTask({
    follower,
    clock,
    logger: logger.child('incidents'),
    metrics,
    send: (message) => parts.link?.send(message) === true,
  });
  const retries = new RetryWindow(relay.retries, clock.steadyMs());
  const connections = new Connections();
  const stewardIsHeard = () => parts.link?.isHeard === true;
  const record = new IncidentRecordTask({
    store,
    clock,
    logger: logger.child('incident-record'),
    incidents,
    isSteward,
    hearsSteward: stewardIsHeard,
    unixMs: () => Date.now(),
  });
  const lease = new LeaseTask({
    vm: vm.id,
    address: listen.peers,
    durationMs: settings.lease.durationMs,
    marginMs: settings.lease.marginMs,
    store,
    clock,
    logger: logger.child('lease'),
    hearsSteward: stewardIsHeard,
    enginesCheckFences: () => relay.enginesCheckFences,
    note: (before) => parts.steward?.note(before),
    noted: (note) => parts.steward?.noted(note),
    heir: () => parts.steward?.heir() ?? null,
    tellLanded: (landed) => parts.steward?.tellLanded(landed),
  });
  parts.lease = lease;
  const view = new FleetView(follower, clock, stewardIsHeard);
  const dispatcher = new Dispatcher({
    dataCentre: vm.dataCentre,
    follower,
    view,
    clock,
    random,
    onWait: () => parts.reporter?.hurry(),
  });
  const admission = new Admission({
    clock,
    ask: (ask) => parts.link?.send({ type: RelayMessageType.ask, ...ask }) === true,
  });
  // Parts of the rates may have ended while this VM was suspended.
  clock.onJump(() => admission.holder.clear());
  const takeMessage = (message: RelayMessage) => {
    switch (message.type) {
      case RelayMessageType.welcome:
        lease.noteFence(message.fence);
        break;
      case RelayMessageType.lease:
        lease.noteTold(message, message.heirTerm);
        if (message.isGivenUp) lease.noteGone(message.lease.epoch, message.lease.epoch);
        break;
      case RelayMessageType.view:
        view.takeView(message);
        retries.noteMembers(message.members);
        metrics.gauge('relay_members', message.members);
        dispatcher.pump();
        break;
      case RelayMessageType.grant:
        admission.takeGrant(message);
        follower.takeConfirmed(message);
        break;
      case RelayMessageType.beliefs:
        follower.takeBeliefs(message);
        break;
      case RelayMessageType.plan:
        follower.takeToldPlan(message);
        break;
      case RelayMessageType.lent:
        admission.takeLent(message);
        break;
      case RelayMessageType.incidents:
        incidents.answer(message);
        break;
      case RelayMessageType.ranWhole:
        incidents.takeWhole(message);
        break;
      default:
    }
  };
  const link = new StewardLink(clock, logger.child('link'), {
    message: takeMessage,
    connected: () => {
      admission.resetSeq();
      follower.forgetBeliefs();
      parts.reporter?.introduce();
      incidents.introduce();
      parts.steward?.tellSteward();
    },
    gone: (post, newest) => lease.noteGone(post.fence, newest),
  });
  parts.link = link;
  const isStopping = () => stopping;
  const reporter = new ReporterTask({
    vm: vm.id,
    address: listen.peers,
    link,
    lease,
    admission,
    dispatcher,
    view,
    clock,
    planRevision: () => follower.planRevision,
    members: () => view.members,
    isStopping,
  });
  parts.reporter = reporter;
  const steward = new StewardTask({
    vm: vm.id,
    listen: listen.peers,
    wire,
    follower,
    incidents,
    lease,
    leaseMs: settings.lease.durationMs,
    clock,
    logger: logger.child('steward'),
    send: (message) => link.send(message),
  });
  parts.steward = steward;
  const keysTrustedMs = relay.keyRevocationMs - KEY_MARGIN_MS;
  const ctx: RelayContext = {
    wire,
    admission,
    dispatcher,
    view,
    connections,
    retries,
    incidents,
    clock,
    metrics,
    usualReturnMs: USUAL_RETURN_MS,
    isStopping,
    takesRequest: (isStream) =>
      stopRules.takesRequest(clock.steadyMs() - stopAtMs, graceMs, isStream),
    mayRun: (customer) => customer === null || follower.planAgeMs() < keysTrustedMs,
    noteUse: (model) => reporter.noteUse(model),
    log: (event, id, fields) => logger.info(event, { id, ...fields }),
    replyOwn: (res, id, failure, retryAfterMs) =>
      replyOwn(res, wire.ownAnswer(id), failure, retryAfterMs, stopping),
  };
  const front = new FrontTask({
    listen: listen.callers,
    ctx,
    follower,
    random,
    logger: logger.child('front'),
    staleAfterMs: STALE_PLAN_MS,
  });
  const ready = new ReadyTask({
    listen: listen.admin,
    path: wire.readinessPath,
    metrics,
    isReady: () =>
      !stopping &&
      (record.isLoaded || stewardIsHeard()) &&
      follower.plan !== null &&
      follower.planAgeMs() < keysTrustedMs,
  });
  changed.subscribe(({ plan, backends }) => {
    if (plan && follower.plan !== null) {
      admission.setCustomers(follower.plan.customers);
      front.applyLimits();
    }
    if (backends) {
      connections.retain(follower.backends);
      incidents.judge();
    }
    dispatcher.pump();
  });

  const tasks = [follower, steward, lease, reporter, incidents, record, front, ready];
  const supervisor = createSupervisor(tasks, logger.child('supervisor'));
  await supervisor.start();
  dispatcher.start();

  const drain = async (untilMs: number): Promise<void> => {
    const noticedAtMs = clock.steadyMs() + stopRules.NOTICE_MS;
    while (clock.steadyMs() < untilMs) {
      if (clock.steadyMs() >= noticedAtMs) {
        front.closeIdle();
        if (front.activeCount === 0) return;
      }
      await clocks.sleep(STOP_POLL_MS);
    }
  };
  return {
    async stop() {
      if (stopping) return;
      stopping = true;
      logger.info('stopping');
      stopAtMs = clock.steadyMs();
      const untilMs = stopAtMs + graceMs;
      await steward.handOver();
      await drain(untilMs);
      await front.drain(untilMs);
      reporter.farewell();
      await clocks.sleep(LAST_MESSAGES_MS);
      dispatcher.stop();
      await supervisor.stop();
      connections.close();
      await Promise.all([store.close(), wire.close()]);
    },
  };
}
