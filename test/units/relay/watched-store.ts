/** Test fixture: a store stand-in over HTTP with a client, and a watcher that acts for the steward. */
import * as platform from '../../../platform/index.js';
import * as channels from '../../../src/core/channels/index.js';
import * as clocks from '../../../src/core/clock/index.js';
import { createLogger } from '../../../src/core/logger/index.js';
import { type FleetChange, StoreWatcherTask } from '../../../src/entry/relay/store-watcher.js';
import type { RelayStore } from '../../../src/entry/relay/types.js';
import { SoakStore } from '../../soak/store.js';

/** Creates the store and starts it; the watcher is started by the test. */
export async function createWatchedStore(timeoutMs: number) {
  const store = new SoakStore();
  const logger = createLogger('test', 'silent');
  const wire = platform.createWire();
  const client: RelayStore = wire.createStore(await store.start(), timeoutMs, logger);
  const watcher = new StoreWatcherTask({
    wire,
    store: client,
    clock: clocks.createClock(),
    logger,
    changed: channels.createChannel<FleetChange>(() => undefined),
    isSteward: () => true,
    onOutage: () => undefined,
  });
  const stop = async () => {
    await watcher.stop();
    await client.close();
    store.stop();
  };
  return { store, client, watcher, stop };
}
