/**
 * Stand-in for the weight store: transfers up to 4 models and 32 adapters concurrently at full
 * speed; with more of a kind, all transfers of that kind slow down.
 */
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';

export interface WeightsOptions {
  /** Throughput of a model transfer at full speed, MB/s. */
  readonly mbPerS: number;
  /** Time before the first byte, ms. */
  readonly latencyMs: number;
  /** Duration of an adapter transfer at full speed, ms. */
  readonly adapterMs: number;
}

const FULL_SPEED_MODELS = 4;
const FULL_SPEED_ADAPTERS = 32;
/** Interval at which a transfer recalculates its speed. */
const TRANSFER_STEP_MS = 10;

/** Starts a weight store stand-in that listens at `listen`. */
export function start(listen: string, opts: WeightsOptions): Promise<standinHttp.StandinServer> {
  const faults = { down: false, slowFactor: 1 };
  const running = { models: 0, adapters: 0 };
  const counters = { models: 0, adapters: 0, peakModels: 0, peakAdapters: 0 };

  const transfer = async (
    kind: 'models' | 'adapters',
    fullSpeedMs: number,
    maxFullSpeed: number,
  ) => {
    running[kind] += 1;
    counters[kind] += 1;
    const peak = kind === 'models' ? 'peakModels' : 'peakAdapters';
    counters[peak] = Math.max(counters[peak], running[kind]);
    let remainingMs = fullSpeedMs * faults.slowFactor;
    while (remainingMs > 0) {
      await clock.sleep(Math.min(TRANSFER_STEP_MS, remainingMs));
      remainingMs -= TRANSFER_STEP_MS / Math.max(1, running[kind] / maxFullSpeed);
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
