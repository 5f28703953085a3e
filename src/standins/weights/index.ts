/** Stand-in of the weight store: 4 models at once at full speed, 32 adapters, slower beyond. */
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';

export interface WeightsOptions {
  /** MB/s of each load at full speed. */
  readonly mbPerS: number;
  /** Time before the first byte, ms. */
  readonly latencyMs: number;
  /** Time of an adapter at full speed, ms. */
  readonly adapterMs: number;
}

const FULL_SPEED_MODELS = 4;
const FULL_SPEED_ADAPTERS = 32;
const STEP_MS = 10;

/** A weight store stand-in that listens at `listen`. */
export function start(listen: string, opts: WeightsOptions): Promise<standinHttp.Listener> {
  const faults = { down: false, slowFactor: 1 };
  const running = { models: 0, adapters: 0 };
  const counters = { models: 0, adapters: 0, peakModels: 0, peakAdapters: 0 };

  const transfer = async (kind: 'models' | 'adapters', fullSpeedMs: number, most: number) => {
    running[kind] += 1;
    counters[kind] += 1;
    const peak = kind === 'models' ? 'peakModels' : 'peakAdapters';
    counters[peak] = Math.max(counters[peak], running[kind]);
    let leftMs = fullSpeedMs * faults.slowFactor;
    while (leftMs > 0) {
      await clock.sleep(Math.min(STEP_MS, leftMs));
      leftMs -= STEP_MS / Math.max(1, running[kind] / most);
    }
    running[kind] -= 1;
  };

  return standinHttp.serve(listen, async (req, res) => {
    if (standinHttp.handleControl(req, res, faults, () => counters)) return;
    if (faults.down) {
      res.destroy();
      return;
    }
    await clock.sleep(opts.latencyMs);
    const bytesMb = Number(req.url.searchParams.get('bytesMb') ?? 0);
    if (req.url.searchParams.get('adapter') === 'true') {
      await transfer('adapters', opts.adapterMs, FULL_SPEED_ADAPTERS);
    } else {
      await transfer('models', (bytesMb / opts.mbPerS) * 1000, FULL_SPEED_MODELS);
    }
    standinHttp.sendJson(res, 200, { bytesMb });
  });
}
