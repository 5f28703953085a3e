/** Wires the parts of a daemon together. */
import * as channels from '../core/channels/index.js';
import * as clocks from '../core/clock/index.js';
import * as errors from '../core/errors/index.js';
import type { Logger } from '../core/logger/index.js';
import { createMetrics } from '../core/metrics/index.js';
import { createRandom } from '../core/random/index.js';
import type { Settings } from '../core/settings/index.js';
import { createSupervisor } from '../core/supervisor/index.js';
import type { Catalog } from '../decisions/catalog/index.js';
import { RetryBudget } from '../decisions/retries/index.js';
import { AdminTask } from './admin/index.js';
import { createBackends } from './backends/index.js';
import { DispatchTask } from './dispatch/index.js';
import { GatewayTask, Trails } from './gateway/index.js';
import {
  InventoryTask,
  type LoadsUpdate,
  type Reading,
  type RoutesUpdate,
} from './inventory/index.js';
import { type Inbound, PeersTask } from './peers/index.js';
import { createPlatformClient } from './platform/index.js';
import { QuotaTask } from './quota/index.js';
import { SettingsTask } from './settings/index.js';
import { StewardTask } from './steward/index.js';

/** Time for the last frames to leave, ms. */
const LAST_FRAMES_MS = 100;

/** A running daemon. */
export interface Daemon {
  readonly callersAddress: string;
  /** Where peers reach it. */
  readonly peersAddress: string;
  /** Where its peer listener listens. */
  readonly boundPeersAddress: string;
  readonly adminAddress: string;
  /** Stops without cutting a request; with `hurry` it waits for none. */
  stop(hurry: boolean): Promise<void>;
}

/** Creates and starts a daemon. */
export async function startDaemon(settings: Settings, logger: Logger): Promise<Daemon> {
  const { vm, listen, limits } = settings;
  const { id, dataCentre } = vm;
  const clock = clocks.createClock();
  const incarnation = Date.now();
  const random = createRandom(incarnation);
  const metrics = createMetrics();
  const trails = new Trails();
  const onError = (err: unknown) => {
    logger.error('message-failed', { reason: errors.describe(err) });
  };
  const inbox = channels.createChannel<Inbound>(onError);
  const applied = channels.createChannel<Catalog>(onError);
  const readings = channels.createChannel<Reading>(onError);
  const routes = channels.createChannel<RoutesUpdate>(onError);
  const linked = channels.createChannel<string>(onError);
  const loads = channels.createChannel<LoadsUpdate>(onError);
  const platform = createPlatformClient(settings.platform.address, settings.platform.timeoutMs);
  const backends = createBackends();

  const peers = new PeersTask({
    vm: id,
    dataCentre,
    listen: listen.peers,
    advertised: listen.peersAdvertised,
    seeds: settings.peers,
    maxFrameBytes: limits.frameBytes,
    incarnation,
    clock,
    random,
    logger: logger.child('peers'),
    metrics,
    platform,
    inbox,
    linked,
  });
  const follower = new SettingsTask({
    vm: id,
    platform,
    peers,
    inbox,
    applied,
    clock,
    random,
    logger: logger.child('settings'),
  });
  const currentCatalog = () => follower.catalog;
  const quota = new QuotaTask({
    vm: id,
    dataCentre,
    incarnation,
    platform,
    peers,
    inbox,
    applied,
    currentCatalog,
    clock,
    random,
    logger: logger.child('quota'),
  });
  const steward = new StewardTask({
    vm: id,
    dataCentre,
    lease: settings.lease,
    platform,
    backends,
    peers,
    inbox,
    readings,
    applied,
    currentCatalog,
    clock,
    logger: logger.child('steward'),
    metrics,
  });
  const inventory = new InventoryTask({
    dataCentre,
    backends,
    peers,
    inbox,
    readings,
    linked,
    routes,
    loads,
    currentCatalog,
    busyEngines: () => steward.busyEngines(),
    clock,
  });
  const dispatcher = new DispatchTask({
    dataCentre,
    peers,
    inbox,
    routes,
    loads,
    applied,
    linked,
    currentCatalog,
    maxQueue: limits.queue,
    clock,
    random,
    metrics,
  });
  const gateway = new GatewayTask(
    { listen: listen.callers },
    {
      vm: id,
      dataCentre,
      limits,
      quota,
      dispatcher,
      backends,
      platform,
      retries: new RetryBudget(clock.nowMs()),
      trails,
      currentCatalog,
      clock,
      random,
      logger: logger.child('gateway'),
      metrics,
    },
    applied,
  );
  let leaving = false;
  const admin = new AdminTask({
    listen: listen.admin,
    metrics,
    trails,
    isReady: () => !leaving && currentCatalog() !== null,
    status: () => ({
      self: peers.self(),
      ready: !leaving && currentCatalog() !== null,
      members: peers.members(),
      steward: peers.stewardOf(dataCentre)?.vm ?? null,
      stewardView: steward.view()?.map(({ checkpoints, ...engine }) => engine) ?? null,
      engines: dispatcher.view(),
      waiting: { tokens: quota.waitingCount, engine: dispatcher.waitingCount },
      active: gateway.activeCount,
    }),
  });

  const tasks = [peers, follower, quota, steward, inventory, dispatcher, gateway, admin];
  const supervisor = createSupervisor(tasks, logger.child('supervisor'));
  await supervisor.start();

  const drain = async () => {
    // The balancer stops sending callers here while the listener still takes them.
    await clocks.sleep(settings.stop.noticeMs);
    await gateway.drain(settings.stop.graceMs);
    await Promise.all([quota.handOver(), steward.handOver()]);
  };
  return {
    callersAddress: gateway.address,
    peersAddress: peers.self().address,
    boundPeersAddress: peers.boundAddress,
    adminAddress: admin.address,
    async stop(hurry) {
      if (!leaving) {
        leaving = true;
        peers.announce({ leaving: true });
        if (!hurry) await drain();
      }
      await supervisor.stop();
      await clocks.sleep(LAST_FRAMES_MS);
      await Promise.all([platform.close(), backends.close()]);
    },
  };
}
