/** Creates the tasks of a daemon and connects them. */
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
import { GatewayTask, RequestTraces } from './gateway/index.js';
import {
  type EngineSnapshot,
  InventoryTask,
  type LoadsUpdate,
  type RoutesUpdate,
} from './inventory/index.js';
import { type Inbound, PeersTask } from './peers/index.js';
import { createPlatformClient } from './platform/index.js';
import { QuotaTask } from './quota/index.js';
import { SettingsTask } from './settings/index.js';
import { StewardTask } from './steward/index.js';

/** Time to flush the last frames to peers during shutdown, ms. */
const FINAL_FLUSH_MS = 100;

/** A running daemon. */
export interface Daemon {
  readonly callersAddress: string;
  /** Address of the peer listener as seen by other entry VMs. */
  readonly peersAddress: string;
  /** Address that the peer listener is bound to. */
  readonly boundPeersAddress: string;
  readonly adminAddress: string;
  /** Drains running requests and stops; with `immediate` it stops without draining. */
  stop(immediate: boolean): Promise<void>;
}

/** Creates and starts a daemon. */
export async function startDaemon(settings: Settings, logger: Logger): Promise<Daemon> {
  const { vm, listen, limits } = settings;
  const { id, dataCentre } = vm;
  const clock = clocks.createClock();
  const incarnation = Date.now();
  const random = createRandom(incarnation);
  const metrics = createMetrics();
  const traces = new RequestTraces();
  const onError = (err: unknown) => {
    logger.error('message-failed', { reason: errors.describe(err) });
  };
  const inbox = channels.createChannel<Inbound>(onError);
  const applied = channels.createChannel<Catalog>(onError);
  const snapshots = channels.createChannel<EngineSnapshot>(onError);
  const routes = channels.createChannel<RoutesUpdate>(onError);
  const connected = channels.createChannel<string>(onError);
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
    connected,
  });
  const settingsTask = new SettingsTask({
    vm: id,
    platform,
    peers,
    inbox,
    applied,
    clock,
    random,
    logger: logger.child('settings'),
  });
  const currentCatalog = () => settingsTask.catalog;
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
    snapshots,
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
    snapshots,
    connected,
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
    connected,
    currentCatalog,
    maxQueue: limits.queue,
    mayProbe: () => (peers.stewardOf(dataCentre)?.vm ?? id) === id,
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
      traces,
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
    traces,
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

  const tasks = [peers, settingsTask, quota, steward, inventory, dispatcher, gateway, admin];
  const supervisor = createSupervisor(tasks, logger.child('supervisor'));
  await supervisor.start();

  const drain = async () => {
    // Requests are still accepted until the load balancer has stopped sending them here.
    await clocks.sleep(settings.stop.noticeMs);
    await gateway.drain(settings.stop.graceMs);
    await Promise.all([quota.releaseOwnership(), steward.releaseLease()]);
  };
  let drained: Promise<void> | null = null;
  return {
    callersAddress: gateway.address,
    peersAddress: peers.self().address,
    boundPeersAddress: peers.boundAddress,
    adminAddress: admin.address,
    async stop(immediate) {
      if (!leaving) {
        leaving = true;
        peers.announce({ leaving: true });
      }
      if (!immediate) {
        drained ??= drain();
        await drained;
      }
      await supervisor.stop();
      await clocks.sleep(FINAL_FLUSH_MS);
      await Promise.all([platform.close(), backends.close()]);
    },
  };
}
